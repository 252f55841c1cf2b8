import type {SuspectedEndpoint} from './suspected-endpoint.js';

/** A run that an endpoint broke off, with nobody else to blame. */
export type LostRun = {
	/** Identifier of the request, for the log. */
	readonly id: string;
	readonly fingerprint: () => string;
	readonly endpoint: SuspectedEndpoint;
	/** Monotonic ms. */
	readonly sentAt: number;
};
