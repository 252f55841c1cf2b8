import type {OpenAttempt} from './open-attempt.js';

/** The tries at endpoints that are under way. */
export type OpenAttempts = {
	/** Returns what notes its end. */
	readonly add: (attempt: OpenAttempt) => () => void;
	/** When the oldest request that waits for an endpoint of a hall was sent, in monotonic ms; `undefined` when none waits. */
	readonly waitsSince: (hall: string) => number | undefined;
	/** Ends all tries in a hall that may be made again elsewhere. */
	readonly abandon: (hall: string) => void;
};
