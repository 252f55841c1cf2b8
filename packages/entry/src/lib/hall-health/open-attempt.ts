import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** A try at an endpoint that is under way. */
export type OpenAttempt = {
	readonly endpoint: ListedEndpoint;
	/** Monotonic ms. */
	readonly sentAt: number;
	/** Ends it, where it may be made again elsewhere. */
	readonly abandon?: () => void;
};
