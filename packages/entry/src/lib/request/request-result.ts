import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {FoundOrigin} from '../stream-origins/found-origin.js';
import type {ResponseTiming} from '../relaying/response-timing.js';
import type {ResponseTrace} from '../response-ends/response-trace.js';

/** How a request ended after it was admitted and its first run was reserved. */
export type RequestResult = {
	/**
	`answered`: the caller got a whole response of an endpoint; `not_run`: no endpoint ran the request; `unknown`: an endpoint may have
	run it; `timed_out`: the same, and the deadline passed; `broken`: the caller got a part of a response; `caller_left`.
	*/
	readonly outcome: 'answered' | 'not_run' | 'unknown' | 'timed_out' | 'broken' | 'caller_left';
	/** How many attempts reached an endpoint. */
	readonly arrivals: number;
	/** How many attempts reached another process than the endpoint. */
	readonly misdirected: number;
	/** Runs whose result is not known, or whose error response was dropped. Each may have cost its worst case. */
	readonly lostRuns: number;
	/** The most tokens that the events of a stream that the caller got may hold, over all runs; 0 for any other response. */
	readonly outputTokens: number;
	/** The HTTP status of the endpoint's response, where there is one. */
	readonly status?: number;
	/** When the caller should retry, in monotonic ms, where this is known better than by the default of the refusal. */
	readonly retryAt?: number;
	/** For the log: why the endpoint of an answered request was chosen, or why the request was given up. The refusal depends on it. */
	readonly reason: string;
	/** How many endpoints of the service were excluded, by the reason, where none was left for the request. */
	readonly excluded: ReadonlyMap<string, number> | undefined;
	/** How long the request waited for an endpoint of the version that began its stream, in ms. */
	readonly endpointWaitMs: number;
	/** What was not to be had for a further attempt: a retry of the service, or rights; `undefined` where nothing lacked. */
	readonly lacking: 'retry' | 'rights' | undefined;
	/** The endpoint of the last attempt; `undefined` where no attempt was made. */
	readonly endpoint: ListedEndpoint | undefined;
	/** The endpoint that wrote the first event that the caller got from this host; `undefined` without one. */
	readonly begunBy: ListedEndpoint | undefined;
	/** How it was found where the stream began that the caller takes up; `undefined` where it takes none up. */
	readonly origin: FoundOrigin | undefined;
	/** How the response of the latest attempt that had one came and ended. */
	readonly trace?: ResponseTrace | undefined;
	/** When the request was sent and answered. */
	readonly timing: ResponseTiming;
	/** When this host read that the caller has left, in monotonic ms; `undefined` where it did not. */
	readonly leftAt: number | undefined;
	/** Whether the shutdown of the host ended it. */
	readonly isCut: boolean;
};
