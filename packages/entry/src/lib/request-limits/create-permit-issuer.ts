import {permitRate, takeToken, type TokenBucket} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {Permit} from './permit.js';

/** The most endpoints whose permits are counted: a bound on memory. */
const maxEndpoints = 5000;

/** Issues permits for the endpoints that this host coordinates. */
type PermitIssuer = {
	/**
	Issues a permit, or refuses it with the time of the next one.

	@param perSecond The endpoint's limit, in requests a second of all hosts together.
	@param rank This host's rank among the coordinators of the endpoint, from 0.
	*/
	readonly issue: (endpoint: string, perSecond: number, rank: number) => Permit;
};

/**
Creates an issuer that has issued no permit yet.

@param now Returns the time in monotonic ms.
*/
export const createPermitIssuer = (now: () => number): PermitIssuer => {
	const buckets = new LRUCache<string, TokenBucket>({max: maxEndpoints});
	return {
		issue(endpoint, perSecond, rank) {
			const {bucket, isTaken, nextAt} = takeToken(buckets.get(endpoint), permitRate(perSecond, rank), now());
			buckets.set(endpoint, bucket);
			return isTaken ? {isGranted: true} : {isGranted: false, retryAt: nextAt};
		},
	};
};
