import type {EventCounter} from '@deckwheel/host-kit';
import type {HeldBytes} from './held-bytes.js';

/** Creates the account of a host that may hold `maxBytes` at once. `counter` gets the most that was held (`max`), and how often there was no room (`no_room`). */
export const createHeldBytes = (maxBytes: number, counter: EventCounter): HeldBytes => {
	let held = 0;

	return {
		tryHold(bytes) {
			if (held + bytes > maxBytes && bytes > 0) {
				counter.increment('no_room');
				return false;
			}

			held += bytes;
			counter.recordMax('max', held);
			return true;
		},
		release(bytes) {
			held -= bytes;
		},
		heldBytes: () => held,
		maxBytes,
	};
};
