import type {RateEndpoint} from '../ratings/rate-endpoint.js';
import type {RatedEndpoint} from '../ratings/rated-endpoint.js';
import type {EndpointTable} from './endpoint-table.js';
import type {EndpointChoice} from './endpoint-choice.js';
import type {EndpointRequest} from './endpoint-request.js';
import {findClosure} from './find-closure.js';

const isBetter = (a: RatedEndpoint, b: RatedEndpoint): boolean => {
	if (a.hasRoom !== b.hasRoom) {
		return a.hasRoom;
	}

	return a.cost === b.cost ? a.endpoint < b.endpoint : a.cost < b.cost;
};

/**
Chooses the endpoint with the least expected cost, or `undefined` when none can serve the request.

An endpoint with room is preferred to one without. Left out are endpoints that this request tried, and those that are closed
to it (`findClosure`). `deckwheeld` rates by `rateByCost`, the entry host on a platform by `rateByAffinity`.

@param now Monotonic ms.
*/
export const chooseEndpoint = <R extends EndpointRequest>(table: EndpointTable, request: R, now: number, rate: RateEndpoint<R>): EndpointChoice | undefined => {
	let best: RatedEndpoint | undefined;
	for (const state of table.values()) {
		if (request.tried.includes(state.info.id) || findClosure(state, request, now)) {
			continue;
		}

		const rated = rate(state, request, now);
		if (rated && (!best || isBetter(rated, best))) {
			best = rated;
		}
	}

	return best && {
		endpoint: best.endpoint, reason: best.reason(), hasRoom: best.hasRoom,
	};
};
