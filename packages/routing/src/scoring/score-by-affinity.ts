import {warmAt} from '../endpoints/warm-at.js';
import type {EndpointState} from '../endpoints/endpoint-state.js';
import {estimateLoad} from '../lib/estimate-load.js';
import type {ScoreEndpoint} from './score-endpoint.js';
import type {AffinityRequest} from './affinity-request.js';

/**
What it costs to read one token of a prompt anew: its time at the engine, and the work it holds up beside it, in ms. More keeps
prompts where they were read, less spreads load.
*/
const msPerReadToken = 0.06;

/** What each open request of this host adds to the wait at an endpoint, in ms. Other hosts' requests are alike. */
const msPerOpenRequest = 25;

/** What an endpoint of another hall costs more, in ms: the way there, and the price of traffic between halls. */
const otherHallMs = 8;

/** More than any wait: an endpoint in a hall that seems out of reach is a last resort. In ms. */
const avoidedHallMs = 1_000_000;

/** More than any wait: an endpoint that warms up bears little, and its caches are empty. In ms. */
const coldEndpointMs = 1_000_000;

const warmupCost = (state: EndpointState, {warmup}: AffinityRequest, now: number): number =>
	warmup && warmAt(state, warmup) > now ? coldEndpointMs : 0;

const hallCost = (hall: string, request: AffinityRequest): number => {
	if (hall === request.hall) {
		return 0;
	}

	return request.avoidedHalls?.includes(hall) ? avoidedHallMs : otherHallMs;
};

/**
Weighs the part of the prompt that must be read anew against the load. For many hosts that cannot ask each other: the entry
host on a platform rates by this. `deckwheeld` polls its engines' load and rates by `scoreByCost`.
*/
export const scoreByAffinity: ScoreEndpoint<AffinityRequest> = (state, request, now) => {
	const {info} = state;
	const load = estimateLoad(state, now);
	const cached = Math.min(request.promptTokens, request.cachedTokens(info.id));
	const readMs = (request.promptTokens - cached) * msPerReadToken;
	const waitMs = load * msPerOpenRequest;
	const hallMs = hallCost(info.hall, request);
	const coldMs = warmupCost(state, request, now);
	return {
		endpoint: info.id,
		cost: readMs + waitMs + hallMs + coldMs,
		hasCapacity: load < info.slots && hallMs < avoidedHallMs,
		reason: () => `read_ms=${readMs.toFixed(0)} load=${load} cached=${cached}/${request.promptTokens} hall_ms=${hallMs} cold_ms=${coldMs}`,
	};
};
