import {avoidedHallPenaltyMs} from './avoided-hall-penalty-ms.js';
import type {ExpectedTimeRequest} from './expected-time-request.js';
import {hallPenaltyMs} from './hall-penalty-ms.js';
import type {ScoreEndpoint} from './score-endpoint.js';
import {warmupPenaltyMs} from './warmup-penalty-ms.js';

/** The time in which an endpoint of typical pace prefills one prompt token, in ms. The pace of an endpoint scales it. */
const prefillMsPerToken = 0.03;

/** What each request that is open at an endpoint adds to the time of another one, in ms: their output tokens share the endpoint's steps. */
const waitMsPerRequest = 5;

/**
The part of the delay of the endpoint's other requests that counts as a cost of this one, 0 to 1. A prefill delays the events of every
stream that is running, but a stream that has begun has slack, and a first event has not.
*/
const othersDelayShare = 0.1;

/**
Scores an endpoint by the time, in ms, after which the request is expected to have its first event there, and by the delay that it
means for the requests already running there; plus the penalties of `scoreByAffinity` for another hall and for a warm-up. Pure.

Hosts that share their load use it. An endpoint at which as many requests are open as it has slots has no capacity.
*/
export const scoreByExpectedTime: ScoreEndpoint<ExpectedTimeRequest> = (state, request, now) => {
	const {info} = state;
	const {open, pendingPromptTokens, pace, ageMs} = request.loadOf(info.id);
	const cached = Math.min(request.promptTokens, request.cachedTokens(info.id));
	const prefillMs = (request.promptTokens - cached) * prefillMsPerToken;
	const waitMs = (open * waitMsPerRequest) + (pendingPromptTokens * prefillMsPerToken);
	const othersMs = open * prefillMs * othersDelayShare;
	const hallMs = hallPenaltyMs(info.hall, request);
	const coldMs = warmupPenaltyMs(state, request, now);
	const cost = (pace * (waitMs + prefillMs + othersMs)) + hallMs + coldMs;
	return {
		endpoint: info.id,
		cost,
		hasCapacity: open < info.slots && hallMs < avoidedHallPenaltyMs,
		reason() {
			const age = ageMs === undefined ? 'none' : ageMs.toFixed(0);
			const known = `open=${open} pending=${pendingPromptTokens.toFixed(0)} pace=${pace.toFixed(2)} age_ms=${age}`;
			return `cost_ms=${cost.toFixed(0)} ${known} cached=${cached}/${request.promptTokens} hall_ms=${hallMs} cold_ms=${coldMs}`;
		},
	};
};
