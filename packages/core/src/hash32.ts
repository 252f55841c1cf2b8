import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Hashes a string to 32 bits (xxHash32). The hash must be the same on every host and in every version, because it assigns budgets to slots. */
export const hash32 = (text: string): number => hasher.h32(text);
