/** The number of bytes of one message so far. */
export type ByteCount = {
	readonly add: (bytes: number) => void;
	readonly bytes: () => number;
};

/** Creates the count of a message of which no byte has come. */
export const createByteCount = (): ByteCount => {
	let sum = 0;

	return {
		add(bytes) {
			sum += bytes;
		},
		bytes: () => sum,
	};
};
