import type {RateEndpoint} from '../ratings/rate-endpoint.js';
import type {RatedEndpoint} from '../ratings/rated-endpoint.js';
import type {EndpointTable} from './endpoint-table.js';
import type {EndpointChoice} from './endpoint-choice.js';
import type {EndpointRequest} from './endpoint-request.js';
import {isServing} from './is-serving.js';

const isBetter = (a: RatedEndpoint, b: RatedEndpoint): boolean => {
	if (a.hasRoom !== b.hasRoom) {
		return a.hasRoom;
	}

	return a.cost === b.cost ? a.endpoint < b.endpoint : a.cost < b.cost;
};

/**
Chooses the endpoint with the least expected cost, or `undefined` when none can serve the request.

An endpoint with room is preferred to one without. Left out are endpoints that are no longer listed or leave, were ejected
(`stepEndpoints`), asked for rest, were tried by this request, or sit in another hall that was found out of reach. `deckwheeld`
rates by `rateByCost`, the entry host on a platform by `rateByAffinity`.

@param now Monotonic ms.
*/
export const chooseEndpoint = <R extends EndpointRequest>(table: EndpointTable, request: R, now: number, rate: RateEndpoint<R>): EndpointChoice | undefined => {
	let best: RatedEndpoint | undefined;
	for (const state of table.values()) {
		const rated = isServing(state, request, now) && !request.tried.includes(state.info.id) && state.restUntil <= now ? rate(state, request, now) : undefined;
		if (rated && (!best || isBetter(rated, best))) {
			best = rated;
		}
	}

	return best && {
		endpoint: best.endpoint, reason: best.reason(), hasRoom: best.hasRoom,
	};
};
