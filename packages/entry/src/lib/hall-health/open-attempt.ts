import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** An attempt at an endpoint that has not ended. */
export type OpenAttempt = {
	readonly endpoint: ListedEndpoint;
	/** When the attempt began, in monotonic ms. */
	readonly sentAt: number;
	/** Aborts the attempt; absent if the request may not be retried at another endpoint. */
	readonly abandon?: () => void;
};
