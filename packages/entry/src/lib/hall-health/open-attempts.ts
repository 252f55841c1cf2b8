import type {OpenAttempt} from './open-attempt.js';

/** The attempts at endpoints that have not ended. */
export type OpenAttempts = {
	/** Adds an attempt that began. Returns the function that removes the attempt when it has ended. */
	readonly add: (attempt: OpenAttempt) => () => void;
	/** When the oldest open attempt at an endpoint of a hall began, in monotonic ms; `undefined` if none is open. */
	readonly oldestSentAt: (hall: string) => number | undefined;
	/** Aborts the open attempts at endpoints of a hall whose requests may be retried at another endpoint. */
	readonly abandon: (hall: string) => void;
};
