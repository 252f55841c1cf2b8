import type {ReadProgress} from './read-progress.js';

/**
How many firings of a timer it takes until both a request and the end of the connection behind it are read: the event loop reads a socket once in a
turn, and the end in another turn than the bytes before it.
*/
const firingsToReadAll = 2;

/**
Creates the record of how far this process has read its sockets, by the moments at which a repeated timer fires. Between two of them the event loop
reads each socket at least once.

@param now Monotonic ms.
*/
export const createReadProgress = (now: () => number): ReadProgress => {
	let firedAt: readonly number[] = [now()];
	return {
		noteTimer() {
			firedAt = [now(), ...firedAt].slice(0, firingsToReadAll + 1);
		},
		readUpTo: () => firedAt.at(-1)!,
	};
};
