import type {QueueState} from './queue-state.js';

/** The longest time that a caller is told to stay away, in seconds. */
const maxRetryAfterSeconds = 60;

/** Seconds after which a refused request should come back: when the queue will have drained at its present rate. */
export const queueRetryAfterSeconds = ({waiting, msPerStart}: QueueState): number =>
	Math.min(maxRetryAfterSeconds, Math.max(1, Math.ceil(waiting.length * msPerStart / 1000)));
