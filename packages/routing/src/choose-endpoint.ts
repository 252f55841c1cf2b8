import type {EndpointState} from './endpoint-state.js';
import type {EndpointTable} from './endpoint-table.js';
import {estimateLoad} from './lib/estimate-load.js';
import type {Priority} from './priority.js';
import type {RouteChoice} from './route-choice.js';
import type {RouteRequest} from './route-request.js';

/** Costs in ms that are added to the expected wait when endpoints are compared. */
const otherHallMs = 20;
const movedSessionMs = 50;
const msPerUncachedToken = 0.5;

/** How far above its slots an endpoint is filled, by priority: engines honour priorities, so quick work may queue there. */
const overfill: Readonly<Record<Priority, number>> = {quick: 0.5, normal: 0.125, slow: 0};

type Candidate = RouteChoice & {readonly cost: number};

const isUsable = (state: EndpointState, request: RouteRequest, now: number): boolean => {
	const {info, ejectedUntil, failures, inFlight} = state;
	// After an ejection, one request at a time probes the endpoint.
	const isProbing = failures > 0 && ejectedUntil > 0 && inFlight > 0;
	return info.serves.includes(request.target) && !info.isLeaving && !request.tried.includes(info.id) && ejectedUntil <= now && !isProbing;
};

const rate = (state: EndpointState, request: RouteRequest, now: number): Candidate => {
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

/**
Chooses the endpoint with the least expected cost, or `undefined` when none can serve the request.

An endpoint with room is preferred to one without.

@param now Monotonic ms.
*/
export const chooseEndpoint = (table: EndpointTable, request: RouteRequest, now: number): RouteChoice | undefined => {
	const candidates = [...table.values()]
		.filter(state => isUsable(state, request, now))
		.map(state => rate(state, request, now))
		.sort((a, b) => Number(b.hasRoom) - Number(a.hasRoom) || a.cost - b.cost || (a.endpoint < b.endpoint ? -1 : 1));
	const [best] = candidates;
	return best && {
		endpoint: best.endpoint, reason: best.reason, waitMs: best.waitMs, hasRoom: best.hasRoom,
	};
};
