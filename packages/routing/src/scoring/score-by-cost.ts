import {estimateLoad} from '../lib/estimate-load.js';
import type {ScoreEndpoint} from './score-endpoint.js';
import type {CostRequest} from './cost-request.js';

/** The additional cost of an endpoint in another hall, in ms. */
const otherHallPenaltyMs = 20;

/** The additional cost of moving a session to another endpoint, in ms. */
const movedSessionPenaltyMs = 50;

/** The cost of one prompt token that the endpoint has to prefill, in ms. */
const msPerUncachedToken = 0.1;

/** The share of its slots by which an endpoint may be overfilled with quick requests. Engines honour priorities, so quick requests may queue there. */
const quickOverfillShare = 0.5;

/** The share of its slots by which an endpoint may be overfilled with less urgent requests. Load reports lag, and no slot should stay idle until a report shows it. */
const slackShare = 0.25;

// Less urgent requests leave the slots free that quick requests have been using, but for the overfill that `slackShare` allows.
const capacityFor = (slots: number, {priority, quickShare}: CostRequest): number =>
	priority === 'quick'
		? slots * (1 + quickOverfillShare)
		: Math.max(1, slots + Math.ceil(slots * slackShare) - Math.floor(slots * quickShare));

/**
Scores an endpoint by the expected wait in its queue, the prompt tokens that it has to prefill, its hall, the request's session, and
the endpoint's duration per token. `deckwheeld` uses it unless its setting `routing` names another policy.
*/
export const scoreByCost: ScoreEndpoint<CostRequest> = (state, request, now) => {
	const {info, serviceMs, msPerToken} = state;
	const load = estimateLoad(state, now);
	const waitMs = Math.max(0, load + 1 - info.slots) * serviceMs / info.slots;
	const cached = Math.min(request.promptTokens, request.cachedTokens(info.id));
	const prefillMs = (request.promptTokens - cached) * msPerUncachedToken;
	const hallMs = info.hall === request.hall ? 0 : otherHallPenaltyMs;
	const moveMs = request.stickyTo === undefined || request.stickyTo === info.id ? 0 : movedSessionPenaltyMs;
	const fillMs = load / info.slots * msPerToken;
	const cost = waitMs + prefillMs + hallMs + moveMs + fillMs + msPerToken;
	return {
		endpoint: info.id,
		cost,
		hasCapacity: load < capacityFor(info.slots, request),
		reason: () => `cost_ms=${cost.toFixed(1)} wait_ms=${waitMs.toFixed(1)} load=${load}/${info.slots} cached=${cached}/${request.promptTokens} hall_ms=${hallMs} move_ms=${moveMs}`,
	};
};
