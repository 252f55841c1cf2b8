import type {EndpointInfo} from './endpoint-info.js';
import type {LoadReport} from './load-report.js';

/** What this host knows and assumes about one endpoint. */
export type EndpointState = {
	/** The endpoint as it was last listed. `isLeaving` is also set once the endpoint itself has announced that it leaves. */
	readonly info: EndpointInfo;
	/** Whether the endpoint is in the latest list. An unlisted one stays in the table as long as `stepEndpoints` retains it. */
	readonly isListed: boolean;
	/** When a list last contained the endpoint, in monotonic ms. */
	readonly listedAt: number;
	/**
	Whether the endpoint itself announced that it leaves. A list may be older than the announcement, so no list takes it back; the
	endpoint's next incarnation has another identifier.
	*/
	readonly hasAnnouncedLeaving: boolean;
	/** The end of the backoff that the endpoint asked of this host, in monotonic ms; 0 if it never asked for one. */
	readonly backoffUntil: number;
	/** The instant until which the endpoint's process counts as ended, in monotonic ms; 0 if nothing told so since a success of this host there. */
	readonly endedUntil: number;
	/** The instant until which this host gets no permit under the endpoint's limit on requests, in monotonic ms; 0 if permits were never used up. */
	readonly rateLimitedUntil: number;
	/** This host's own requests in flight at the endpoint: the only load figure that does not lag. */
	readonly inFlight: number;
	/** The number of requests that this host has sent to the endpoint so far. */
	readonly startedCount: number;
	/** When this host last sent a request to the endpoint or, before its first request, first saw the endpoint listed, in monotonic ms. */
	readonly lastStartedAt: number;
	readonly report?: LoadReport;
	/** The smoothed duration of a request at the endpoint, in ms. */
	readonly serviceMs: number;
	/** The smoothed duration of a request divided by its output tokens, in ms per token. */
	readonly msPerToken: number;
	/** Failures since the last success, one after the other: those of requests that were under way together count once. */
	readonly failures: number;
	/** When the last one that counts was noted, in monotonic ms; `undefined` before one. */
	readonly failedAt?: number;
	/** The instant until which the endpoint is ejected and gets no new requests, in monotonic ms; 0 if it has not been ejected since its last success. */
	readonly ejectedUntil: number;
};
