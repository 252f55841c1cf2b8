import type {CrashedRun} from './crashed-run.js';

/**
What a host knows of one subject, a request or a part of prompts, and of the endpoints that crashed while they ran it.

Suspicions of different hosts are merged (`mergeSuspicions`), in any order and any number of times.
*/
export type Suspicion = {
	/** The runs that ended with a crash, by the id of the endpoint's incarnation. */
	readonly crashes: ReadonlyMap<string, CrashedRun>;
	/**
	The endpoints of `crashes` whose crashes do not count against the subject: afterwards a run of it got a response at a host
	that knew of these crashes.
	*/
	readonly cleared: ReadonlySet<string>;
};
