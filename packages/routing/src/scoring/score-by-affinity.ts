import {estimateLoad} from '../lib/estimate-load.js';
import type {ScoreEndpoint} from './score-endpoint.js';
import type {AffinityRequest} from './affinity-request.js';
import {avoidedHallPenaltyMs} from './avoided-hall-penalty-ms.js';
import {hallPenaltyMs} from './hall-penalty-ms.js';
import {warmupPenaltyMs} from './warmup-penalty-ms.js';

/**
The cost of one prompt token that the endpoint has to prefill, in ms: the engine's time for the token, and the delay of the
engine's other requests meanwhile. A higher value keeps prompts at the endpoints that have them cached, a lower one spreads the load.
*/
const msPerUncachedToken = 0.06;

/** The wait that each request at an endpoint adds, in ms. Requests of other hosts are assumed to be like those of this host. */
const waitMsPerRequest = 25;

/**
Scores an endpoint by the prompt tokens that it has to prefill and by its load, plus penalties for another hall and for a warm-up.

The entry host on a platform uses it, because many such hosts share the endpoints without asking each other for their load.
`deckwheeld` polls the load of its engines and uses `scoreByCost` by default.
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
