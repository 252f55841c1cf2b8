import type {BodyRoom} from './body-room.js';
import type {HeldBytes} from './held-bytes.js';

/** Up to this size a body counts as small, in bytes. */
const maxSmallBytes = 65_536;

/**
Creates the room of a host for bodies.

Small bodies and large ones have rooms of their own, so that small ones are never refused for what callers of large ones send. Of large ones that come
together, the one whose next bytes find no room is refused, and gives its room to the others. One alone is always held: else a host with a small room
could never serve it.
*/
export const createBodyRoom = (small: HeldBytes, large: HeldBytes): BodyRoom => {
	let largeBodies = 0;

	return {
		maxLargeBytes: large.maxBytes,
		hold() {
			let held = 0;
			let isLarge = false;
			/** The bytes of a large body that count in its room. */
			let counted = 0;

			const tryAddLarge = (bytes: number): boolean => {
				const uncounted = isLarge ? bytes : held + bytes;
				const isCounted = large.tryHold(uncounted);
				if (!isCounted && largeBodies > (isLarge ? 1 : 0)) {
					return false;
				}

				counted += isCounted ? uncounted : 0;
				if (!isLarge) {
					isLarge = true;
					largeBodies++;
					small.release(held);
				}

				return true;
			};

			return {
				tryAdd(bytes) {
					const isSmall = !isLarge && held + bytes <= maxSmallBytes;
					const isHeld = isSmall ? small.tryHold(bytes) : tryAddLarge(bytes);
					held += isHeld ? bytes : 0;
					return isHeld;
				},
				bytes: () => held,
				release() {
					if (isLarge) {
						large.release(counted);
						largeBodies--;
					} else {
						small.release(held);
					}

					isLarge = false;
					held = 0;
					counted = 0;
				},
			};
		},
	};
};
