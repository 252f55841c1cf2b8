import type {EndpointState} from '../endpoints/endpoint-state.js';
import type {EndpointLoad} from '../load/endpoint-load.js';
import {prefillMsPerToken} from '../lib/prefill-ms-per-token.js';
import {avoidedHallPenaltyMs} from './avoided-hall-penalty-ms.js';
import type {ExpectedTimeRequest} from './expected-time-request.js';
import {hallPenaltyMs} from './hall-penalty-ms.js';
import type {ScoreEndpoint} from './score-endpoint.js';
import {warmupPenaltyMs} from './warmup-penalty-ms.js';

/**
What each request that is open at an endpoint, this one included, adds to the time of a response, in ms: their output tokens share the
endpoint's steps.
*/
const waitMsPerRequest = 8;

/**
How much the time to prefill this request's prompt counts: 1 for the request itself, and the rest for those that wait behind it or run beside it, whose
events it delays. With less, prompts leave the endpoints that have them cached too soon, and all endpoints prefill more.
*/
const prefillWeight = 1.6;

/**
Returns the requests probably open at an endpoint now. Of those that other hosts reported, the older the report, the more have ended;
what came instead is about the same at all endpoints. If hosts went by the count as reported, they would all avoid the endpoints that
were busy then, and crowd the ones that were idle.
*/
const expectedOpen = ({inFlight, info: {slots}}: EndpointState, {open, ageMs = 0}: EndpointLoad, typicalResponseMs: number | undefined): number => {
	const others = Math.max(0, open - inFlight);
	if (typicalResponseMs === undefined) {
		return open;
	}

	// While all slots are taken, requests that wait for one take the places of those that end.
	const waitingOthers = Math.max(0, others - slots);
	const drainMs = waitingOthers * typicalResponseMs / slots;
	return inFlight + (ageMs < drainMs ? others - (slots * ageMs / typicalResponseMs) : (others - waitingOthers) * Math.exp((drainMs - ageMs) / typicalResponseMs));
};

/**
Scores an endpoint by the time, in ms, after which the request is expected to have its first event there, plus the penalties of
`scoreByAffinity` for another hall and for a warm-up. Pure.

Hosts that share their load use it. An endpoint at which as many requests are open as it has slots has no capacity, and a cold one has none to spare for
requests that warm ones can take.
*/
export const scoreByExpectedTime: ScoreEndpoint<ExpectedTimeRequest> = (state, request, now) => {
	const {info} = state;
	const load = request.loadOf(info.id);
	const {open, pendingPromptTokens, pace, ageMs} = load;
	const cached = Math.min(request.promptTokens, request.cachedTokens(info.id));
	const prefillMs = (request.promptTokens - cached) * prefillMsPerToken;
	const openNow = expectedOpen(state, load, request.typicalResponseMs);
	const waitMs = ((openNow + 1) * waitMsPerRequest) + (pendingPromptTokens * prefillMsPerToken);
	const hallMs = hallPenaltyMs(info.hall, request);
	const coldMs = warmupPenaltyMs(state, request, now);
	const cost = (pace * (waitMs + (prefillWeight * prefillMs))) + hallMs + coldMs;
	return {
		endpoint: info.id,
		cost,
		hasCapacity: openNow < info.slots && hallMs < avoidedHallPenaltyMs && coldMs === 0,
		reason() {
			const age = ageMs === undefined ? 'none' : ageMs.toFixed(0);
			const known = `open=${open} pending=${pendingPromptTokens.toFixed(0)} pace=${pace.toFixed(2)} age_ms=${age}`;
			return `cost_ms=${cost.toFixed(0)} ${known} cached=${cached}/${request.promptTokens} hall_ms=${hallMs} cold_ms=${coldMs}`;
		},
	};
};
