import type {WaitingRoom} from './waiting-room.js';

/** The longest time that a caller is told to stay away, in seconds. */
const longestSeconds = 60;

/** Seconds after which a refused request should come back: when the queue will have drained at its present rate. */
export const retryAfter = ({waiting, msPerStart}: WaitingRoom): number =>
	Math.min(longestSeconds, Math.max(1, Math.ceil(waiting.length * msPerStart / 1000)));
