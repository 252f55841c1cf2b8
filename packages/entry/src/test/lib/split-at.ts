/** Splits bytes into chunks of these sizes; the last chunk has the rest. */
export const splitAt = (bytes: Uint8Array, sizes: readonly number[]): readonly Uint8Array[] => {
	const chunks: Uint8Array[] = [];
	let at = 0;
	for (const size of [...sizes, bytes.length]) {
		chunks.push(bytes.subarray(at, at + size));
		at += size;
	}

	return chunks;
};
