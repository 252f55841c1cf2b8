import type {EndpointState} from './endpoint-state.js';
import type {EndpointTable} from './endpoint-table.js';
import {rateByCost} from './rate-by-cost.js';
import type {RateEndpoint} from './rate-endpoint.js';
import type {RouteChoice} from './route-choice.js';
import type {RouteRequest} from './route-request.js';

const isUsable = (state: EndpointState, request: RouteRequest, now: number): boolean => {
	const {info, ejectedUntil, failures, inFlight} = state;
	// After an ejection, one request at a time probes the endpoint.
	const isProbing = failures > 0 && ejectedUntil > 0 && inFlight > 0;
	return info.serves.includes(request.target) && !info.isLeaving && !request.tried.includes(info.id) && ejectedUntil <= now && !isProbing;
};

/**
Chooses the endpoint with the least expected cost, or `undefined` when none can serve the request.

An endpoint with room is preferred to one without.

@param now Monotonic ms.
*/
export const chooseEndpoint = (table: EndpointTable, request: RouteRequest, now: number, rate: RateEndpoint = rateByCost): RouteChoice | undefined => {
	const candidates = [...table.values()]
		.filter(state => isUsable(state, request, now))
		.map(state => rate(state, request, now))
		.sort((a, b) => Number(b.hasRoom) - Number(a.hasRoom) || a.cost - b.cost || (a.endpoint < b.endpoint ? -1 : 1));
	const [best] = candidates;
	return best && {
		endpoint: best.endpoint, reason: best.reason, waitMs: best.waitMs, hasRoom: best.hasRoom,
	};
};
