import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** A 32-bit hash of a string (xxHash32). The same on every host and in every version: slots depend on it. */
export const hash32 = (text: string): number => hasher.h32(text);
