import {estimateLoad} from '../lib/estimate-load.js';
import type {ScoreEndpoint} from './score-endpoint.js';
import type {CostRequest} from './cost-request.js';

/** What an endpoint of another hall costs more than its wait, in ms. */
const otherHallPenaltyMs = 20;

/** What moving a session to another endpoint costs, in ms. */
const movedSessionPenaltyMs = 50;

/** What reading one token of a prompt that is not cached costs, in ms. */
const msPerUncachedToken = 0.1;

/** How far above its slots an endpoint is filled with quick work: engines honour priorities, so it may queue there. */
const quickOverfillShare = 0.5;

/** Less urgent work may queue at an endpoint by this part of its slots: reports lag, and a slot must not wait for one. */
const slackShare = 0.25;

// Less urgent work leaves free somewhat fewer slots than quick work has been using.
const capacityFor = (slots: number, {priority, quickShare}: CostRequest): number =>
	priority === 'quick'
		? slots * (1 + quickOverfillShare)
		: Math.max(1, slots + Math.ceil(slots * slackShare) - Math.floor(slots * quickShare));

/** Weighs queue, prompt cache, hall, session and pace. `deckwheeld` rates by this unless its setting `routing` says otherwise. */
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
