import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** The attempts and runs of one request so far. */
export type RequestProgress = {
	/** How many attempts reached an endpoint. */
	readonly arrivals: number;
	/** How many attempts reached no endpoint. */
	readonly unsentAttempts: number;
	/** How many attempts reached another process than the endpoint, whose life has ended. They are no arrivals. */
	readonly misdirectedAttempts: number;
	/** Runs whose result is not known, or whose error response was dropped. Each may have cost its worst case. */
	readonly lostRuns: number;
	/** The ids of the endpoints that the request was sent to, in order. */
	readonly tried: readonly string[];
	/** The endpoint of the latest attempt; `undefined` before one. */
	readonly latest: ListedEndpoint | undefined;
	/** Halls in which an endpoint accepted no connection for this request. */
	readonly avoidedHalls: readonly string[];
	/** How many whole events of a stream the caller got, over all runs. */
	readonly relayedEvents: number;
	/** The endpoint that wrote the first event that the caller got; `undefined` before one. */
	readonly begunBy: ListedEndpoint | undefined;
	/** Whether the caller got a part of a response that is no stream; `undefined` before that. */
	readonly isPartRelayed?: boolean;
	/** The id of the last event that the caller got, after which another run resumes the stream. */
	readonly lastEventId: string | undefined;
};
