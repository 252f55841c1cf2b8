import type {RequestSubjects} from './request-subjects.js';
import type {SuspectedEndpoint} from './suspected-endpoint.js';

/** A run that the endpoint broke off: the caller had not left, and the request's deadline had not passed. */
export type LostRun = RequestSubjects & {
	/** The id of the request, for the log. */
	readonly id: string;
	/** The number of events that the caller got of the run, for the log. */
	readonly events?: number;
	readonly endpoint: SuspectedEndpoint;
	/** When this host sent the request to the endpoint, in monotonic ms. */
	readonly sentAt: number;
};
