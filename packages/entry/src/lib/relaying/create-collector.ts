import {Buffer} from 'node:buffer';

/** Collects the bytes of one message as they come. */
type Collector = {
	readonly add: (chunk: Uint8Array) => void;
	/** All bytes so far, in order. */
	readonly parts: () => readonly Uint8Array[];
	/** All bytes so far in one piece. */
	readonly whole: () => Uint8Array;
};

/** Chunks below this length, in bytes, are copied: each kept one costs the memory of an object, which is more than that of a few bytes. */
const smallBytes = 4 * 1024;

const blockBytes = 4 * smallBytes;

/** Creates the collector of a message. However small its chunks are, it takes little more memory than its bytes. */
export const createCollector = (): Collector => {
	const parts: Uint8Array[] = [];
	let block = Buffer.alloc(0);
	/** Up to where the block is filled, and from where it is not among the parts yet. */
	let [filled, sealed] = [0, 0];

	const seal = (): void => {
		if (filled > sealed) {
			parts.push(block.subarray(sealed, filled));
			sealed = filled;
		}
	};

	const sealedParts = (): readonly Uint8Array[] => {
		seal();
		return parts;
	};

	return {
		add(chunk) {
			// Most messages come in one chunk, which needs no copy.
			if (chunk.length >= smallBytes || (parts.length === 0 && filled === 0)) {
				seal();
				parts.push(chunk);
				return;
			}

			if (filled + chunk.length > block.length) {
				seal();
				block = Buffer.allocUnsafeSlow(blockBytes);
				[filled, sealed] = [0, 0];
			}

			block.set(chunk, filled);
			filled += chunk.length;
		},
		parts: sealedParts,
		whole() {
			const all = sealedParts();
			return all.length === 1 ? all[0]! : Buffer.concat(all);
		},
	};
};
