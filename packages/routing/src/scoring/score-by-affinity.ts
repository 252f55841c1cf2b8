import {warmAt} from '../endpoints/warm-at.js';
import type {EndpointState} from '../endpoints/endpoint-state.js';
import {estimateLoad} from '../lib/estimate-load.js';
import type {ScoreEndpoint} from './score-endpoint.js';
import type {AffinityRequest} from './affinity-request.js';

/**
What it costs to read one token of a prompt anew: its time at the engine, and the work it holds up beside it, in ms. More keeps
prompts where they were read, less spreads load.
*/
const msPerUncachedToken = 0.06;

/** What each open request of this host adds to the wait at an endpoint, in ms. Other hosts' requests are alike. */
const waitMsPerRequest = 25;

/** What an endpoint of another hall costs more, in ms: the way there, and the price of traffic between halls. */
const otherHallPenaltyMs = 8;

/** More than any wait: an endpoint in a hall that seems out of reach is a last resort. In ms. */
const avoidedHallPenaltyMs = 1_000_000;

/** More than any wait: an endpoint that warms up bears little, and its caches are empty. In ms. */
const coldEndpointPenaltyMs = 1_000_000;

const warmupPenaltyMs = (state: EndpointState, {warmup}: AffinityRequest, now: number): number =>
	warmup && warmAt(state, warmup) > now ? coldEndpointPenaltyMs : 0;

const hallPenaltyMs = (hall: string, request: AffinityRequest): number => {
	if (hall === request.hall) {
		return 0;
	}

	return request.avoidedHalls?.includes(hall) ? avoidedHallPenaltyMs : otherHallPenaltyMs;
};

/**
Weighs the part of the prompt that must be read anew against the load. For many hosts that cannot ask each other: the entry
host on a platform rates by this. `deckwheeld` polls its engines' load and rates by `scoreByCost`.
*/
export const scoreByAffinity: ScoreEndpoint<AffinityRequest> = (state, request, now) => {
	const {info} = state;
	const load = estimateLoad(state, now);
	const cached = Math.min(request.promptTokens, request.cachedTokens(info.id));
	const prefillMs = (request.promptTokens - cached) * msPerUncachedToken;
	const waitMs = load * waitMsPerRequest;
	const hallMs = hallPenaltyMs(info.hall, request);
	const coldMs = warmupPenaltyMs(state, request, now);
	return {
		endpoint: info.id,
		cost: prefillMs + waitMs + hallMs + coldMs,
		hasCapacity: load < info.slots && hallMs < avoidedHallPenaltyMs,
		reason: () => `read_ms=${prefillMs.toFixed(0)} load=${load} cached=${cached}/${request.promptTokens} hall_ms=${hallMs} cold_ms=${coldMs}`,
	};
};
