import type {RateEndpoint} from '../ratings/rate-endpoint.js';
import type {RatedEndpoint} from '../ratings/rated-endpoint.js';
import type {EndpointState} from './endpoint-state.js';
import type {EndpointTable} from './endpoint-table.js';
import type {EndpointChoice} from './endpoint-choice.js';
import type {EndpointRequest} from './endpoint-request.js';

const isUsable = (state: EndpointState, request: EndpointRequest, now: number): boolean => {
	const {info, isListed, ejectedUntil, failures, inFlight} = state;
	// After an ejection, one request at a time probes the endpoint.
	const isProbing = failures > 0 && ejectedUntil > 0 && inFlight > 0;
	const isInReach = info.hall === request.hall || !request.lostHalls?.has(info.hall);
	return isListed && info.serves.includes(request.target) && isInReach && !info.isLeaving && !request.tried.includes(info.id) && ejectedUntil <= now && !isProbing;
};

const isBetter = (a: RatedEndpoint, b: RatedEndpoint): boolean => {
	if (a.hasRoom !== b.hasRoom) {
		return a.hasRoom;
	}

	return a.cost === b.cost ? a.endpoint < b.endpoint : a.cost < b.cost;
};

/**
Chooses the endpoint with the least expected cost, or `undefined` when none can serve the request.

An endpoint with room is preferred to one without. Left out are endpoints that are no longer listed or leave, were ejected (`stepEndpoints`), were
tried by this request, or sit in another hall that was found out of reach. `deckwheeld` rates by `rateByCost`, the entry host
on a platform by `rateByAffinity`.

@param now Monotonic ms.
*/
export const chooseEndpoint = <R extends EndpointRequest>(table: EndpointTable, request: R, now: number, rate: RateEndpoint<R>): EndpointChoice | undefined => {
	let best: RatedEndpoint | undefined;
	for (const state of table.values()) {
		const rated = isUsable(state, request, now) ? rate(state, request, now) : undefined;
		if (rated && (!best || isBetter(rated, best))) {
			best = rated;
		}
	}

	return best && {
		endpoint: best.endpoint, reason: best.reason(), hasRoom: best.hasRoom,
	};
};
