import type {SuspectedEndpoint} from './suspected-endpoint.js';

/** Tells whether the process of an endpoint crashed. */
export type CrashDetector = {
	/** Whether nothing listens any more at the address of an endpoint that broke off a run a moment ago. */
	readonly hasCrashed: (endpoint: SuspectedEndpoint) => Promise<boolean>;
};
