import type {HeldBytes} from './held-bytes.js';

/** What a host holds of one message. */
export type Hold = {
	/** Holds bytes as well; `false`, and nothing changes, where the host has no room for them. */
	readonly tryAdd: (bytes: number) => boolean;
	/** The bytes that are held of the message. */
	readonly bytes: () => number;
	/** Gives back all of it. A second call does nothing. */
	readonly release: () => void;
};

/** Creates the hold of one message, of which nothing is held yet. */
export const createHold = ({tryHold, release}: Pick<HeldBytes, 'tryHold' | 'release'>): Hold => {
	let held = 0;

	return {
		tryAdd(bytes) {
			const isHeld = tryHold(bytes);
			held += isHeld ? bytes : 0;
			return isHeld;
		},
		bytes: () => held,
		release() {
			release(held);
			held = 0;
		},
	};
};
