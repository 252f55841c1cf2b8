import type {OpenAttempt} from './open-attempt.js';

/** The attempts at endpoints that have not ended. */
export type OpenAttempts = {
	/** Adds an attempt that began. Returns the function that removes the attempt when it has ended. */
	readonly add: (attempt: OpenAttempt) => () => void;
	/** The open attempt that began first, of those that are meant; `undefined` if none is open. */
	readonly oldest: (isMeant: (attempt: OpenAttempt) => boolean) => OpenAttempt | undefined;
	/** At how many endpoints attempts are open that are meant. */
	readonly endpointCount: (isMeant: (attempt: OpenAttempt) => boolean) => number;
	/** Aborts the open attempts that are meant, where their requests may be retried at another endpoint. */
	readonly abandon: (isMeant: (attempt: OpenAttempt) => boolean) => void;
};
