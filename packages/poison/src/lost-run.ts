import type {SuspectedEndpoint} from './suspected-endpoint.js';

/** A run that the endpoint broke off: the caller had not left, and the request's deadline had not passed. */
export type LostRun = {
	/** The id of the request, for the log. */
	readonly id: string;
	/** Computes the request's fingerprint. */
	readonly fingerprint: () => string;
	/** The ids of the parts of its prompt that other requests may share, for the log. */
	readonly parts?: readonly string[];
	/** The number of events that the caller got of the run, for the log. */
	readonly events?: number;
	readonly endpoint: SuspectedEndpoint;
	/** When this host sent the request to the endpoint, in monotonic ms. */
	readonly sentAt: number;
};
