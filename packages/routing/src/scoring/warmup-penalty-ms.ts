import type {EndpointState} from '../endpoints/endpoint-state.js';
import {warmAt} from '../endpoints/warm-at.js';
import type {AffinityRequest} from './affinity-request.js';

/** The additional cost of a cold endpoint, in ms: more than any wait, because an endpoint that warms up can take little load and its caches are empty. */
const coldEndpointPenaltyMs = 1_000_000;

/** Returns the additional cost, in ms, of an endpoint that warms up: 0 for a warm one. Pure. */
export const warmupPenaltyMs = (state: EndpointState, {warmup}: Pick<AffinityRequest, 'warmup'>, now: number): number =>
	warmup && warmAt(state, warmup) > now ? coldEndpointPenaltyMs : 0;
