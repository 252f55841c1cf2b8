import type {EndpointInfo} from './endpoint-info.js';

/** What changes a host's table of endpoints. Endpoints are named by their identifiers; times are in ms. */
export type EndpointEvent =
	/** A bundle came into force, or a platform sent a new list of its endpoints. The list replaces the one before. */
	| {readonly type: 'configured'; readonly endpoints: readonly EndpointInfo[]}
	/** This host sent a request to the endpoint. */
	| {readonly type: 'started'; readonly endpoint: string}
	/** A request of this host at the endpoint ended successfully. */
	| {readonly type: 'succeeded'; readonly endpoint: string; readonly durationMs: number; readonly outputTokens: number}
	/** A request of this host failed at the endpoint. `startedAt`: when it was sent there, in monotonic ms. */
	| {readonly type: 'failed'; readonly endpoint: string; readonly startedAt?: number}
	/** A request of this host did not reach the endpoint, on no way that the host knows. */
	| {readonly type: 'unreached'; readonly endpoint: string}
	/** A different process responded at the endpoint's address, so the endpoint's process has ended. A later list will lack the endpoint. */
	| {readonly type: 'gone'; readonly endpoint: string}
	/** This host found that the endpoint's process has ended. The endpoint gets no requests until the instant `until`, in monotonic ms, unless there is no other. */
	| {readonly type: 'ended'; readonly endpoint: string; readonly until: number}
	/** Another host reported that the endpoint's process has ended, which may be false: only the first report since a success of this host counts. `until` is as in `ended`. */
	| {readonly type: 'reported_ended'; readonly endpoint: string; readonly until: number}
	/** The endpoint itself announced that it will shut down soon, which the list may not show yet. */
	| {readonly type: 'leaving'; readonly endpoint: string}
	/** The endpoint refused a request and asked this host to send none until the instant `until`, in monotonic ms. */
	| {readonly type: 'rest_asked'; readonly endpoint: string; readonly until: number}
	/** This host gets no permit under the endpoint's limit on requests before the instant `until`, in monotonic ms. */
	| {readonly type: 'limited'; readonly endpoint: string; readonly until: number}
	/** A request of this host at the endpoint ended early, for a reason that says nothing about the endpoint's health. */
	| {readonly type: 'abandoned'; readonly endpoint: string}
	/** The endpoint reported its load: `total` is the number of requests of all hosts that run or wait there. */
	| {readonly type: 'reported'; readonly endpoint: string; readonly total: number};
