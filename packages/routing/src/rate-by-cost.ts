import {estimateLoad} from './lib/estimate-load.js';
import type {Priority} from './priority.js';
import type {RateEndpoint} from './rate-endpoint.js';

/** Costs in ms that are added to the expected wait when endpoints are compared. */
const otherHallMs = 20;
const movedSessionMs = 50;
const msPerUncachedToken = 0.5;

/** How far above its slots an endpoint is filled, by priority: engines honour priorities, so quick work may queue there. */
const overfill: Readonly<Record<Priority, number>> = {quick: 0.5, normal: 0.125, slow: 0};

/** Weighs queue, prompt cache, hall, session and pace. This is what ships. */
export const rateByCost: RateEndpoint = (state, request, now) => {
	const {info, serviceMs, msPerToken} = state;
	const load = estimateLoad(state, now);
	const waitMs = Math.max(0, load + 1 - info.slots) * serviceMs / info.slots;
	const cached = Math.min(request.promptTokens, request.cachedTokens(info.id));
	const prefillMs = (request.promptTokens - cached) * msPerUncachedToken;
	const hallMs = info.hall === request.hall ? 0 : otherHallMs;
	const moveMs = request.stickyTo === undefined || request.stickyTo === info.id ? 0 : movedSessionMs;
	const fillMs = load / info.slots * msPerToken;
	const cost = waitMs + prefillMs + hallMs + moveMs + fillMs + msPerToken;
	return {
		endpoint: info.id,
		waitMs,
		cost,
		hasRoom: load < info.slots * (1 + overfill[request.priority]),
		reason: `cost_ms=${cost.toFixed(1)} wait_ms=${waitMs.toFixed(1)} load=${load}/${info.slots} cached=${cached}/${request.promptTokens} hall_ms=${hallMs} move_ms=${moveMs}`,
	};
};
