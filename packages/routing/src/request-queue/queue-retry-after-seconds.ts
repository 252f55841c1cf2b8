import type {QueueState} from './queue-state.js';

/** The maximum delay that a caller is told to wait before a retry, in seconds. */
const maxRetryAfterSeconds = 60;

/** Returns the seconds after which a caller should retry a refused request: when the queue will be empty at its present rate of starts, within 1 to 60. */
export const queueRetryAfterSeconds = ({waiting, msPerStart}: QueueState): number =>
	Math.min(maxRetryAfterSeconds, Math.max(1, Math.ceil(waiting.length * msPerStart / 1000)));
