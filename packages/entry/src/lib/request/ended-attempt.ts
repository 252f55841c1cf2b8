import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {AttemptEnd} from './attempt-end.js';

/** An attempt of a request that has ended. */
export type EndedAttempt = {
	readonly end: AttemptEnd;
	readonly endpoint: ListedEndpoint;
	/** When the attempt began, in monotonic ms. */
	readonly startedAt: number;
	/** Whether the caller has left or the deadline has passed. */
	readonly isOver: boolean;
	/** The most tokens that the events of the stream that the caller got may hold, over all runs so far. */
	readonly outputTokens: number;
};
