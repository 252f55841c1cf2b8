import type {EndpointInfo} from './endpoint-info.js';

/** What changes the picture that a host has of its endpoints. */
export type EndpointEvent =
	/** A bundle came into force, or a platform listed its endpoints anew. */
	| {readonly type: 'configured'; readonly endpoints: readonly EndpointInfo[]}
	| {readonly type: 'started'; readonly endpoint: string}
	| {readonly type: 'succeeded'; readonly endpoint: string; readonly durationMs: number; readonly outputTokens: number}
	/** The endpoint failed or could not be reached. */
	| {readonly type: 'failed'; readonly endpoint: string}
	/** Another process answers at the endpoint's address, so it has ended. Its entry goes in time. */
	| {readonly type: 'gone'; readonly endpoint: string}
	/** It said itself that it ends before long, whatever is listed. */
	| {readonly type: 'leaving'; readonly endpoint: string}
	/** It turned a request away and wants none of this host until then, in monotonic ms. */
	| {readonly type: 'rest_asked'; readonly endpoint: string; readonly until: number}
	/** The permits of its limit on requests are used up for this host until then, in monotonic ms. */
	| {readonly type: 'limited'; readonly endpoint: string; readonly until: number}
	/** The request ended early for a reason that says nothing about the endpoint. */
	| {readonly type: 'abandoned'; readonly endpoint: string}
	| {readonly type: 'reported'; readonly endpoint: string; readonly total: number};
