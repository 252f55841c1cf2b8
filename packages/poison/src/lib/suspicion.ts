import type {EndedRun} from './ended-run.js';

/**
What is known of one request and of the endpoints that ended while they ran it.

It is merged with what other hosts know (`mergeSuspicions`), in any order and any number of times.
*/
export type Suspicion = {
	/** By the life of the endpoint. */
	readonly ends: ReadonlyMap<string, EndedRun>;
	/** Of these, the ones that the request is not to blame for: it came to a good end after all. */
	readonly cleared: ReadonlySet<string>;
};
