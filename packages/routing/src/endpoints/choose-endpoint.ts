import type {ScoreEndpoint} from '../scoring/score-endpoint.js';
import type {ScoredEndpoint} from '../scoring/scored-endpoint.js';
import type {EndpointTable} from './endpoint-table.js';
import type {EndpointChoice} from './endpoint-choice.js';
import type {EndpointRequest} from './endpoint-request.js';
import {findExclusion} from './find-exclusion.js';

const isBetter = (a: ScoredEndpoint, b: ScoredEndpoint): boolean => {
	if (a.hasCapacity !== b.hasCapacity) {
		return a.hasCapacity;
	}

	return a.cost === b.cost ? a.endpoint < b.endpoint : a.cost < b.cost;
};

/**
Chooses the endpoint with the least expected cost, or `undefined` when none can serve the request.

An endpoint with room is preferred to one without. Left out are endpoints that this request tried, and those that are closed
to it (`findExclusion`). `deckwheeld` rates by `scoreByCost`, the entry host on a platform by `scoreByAffinity`.

@param now Monotonic ms.
*/
export const chooseEndpoint = <R extends EndpointRequest>(table: EndpointTable, request: R, now: number, scoreEndpoint: ScoreEndpoint<R>): EndpointChoice | undefined => {
	let best: ScoredEndpoint | undefined;
	for (const state of table.values()) {
		if (request.tried.includes(state.info.id) || findExclusion(state, request, now)) {
			continue;
		}

		const scored = scoreEndpoint(state, request, now);
		if (scored && (!best || isBetter(scored, best))) {
			best = scored;
		}
	}

	return best && {
		endpoint: best.endpoint, reason: best.reason(), hasCapacity: best.hasCapacity,
	};
};
