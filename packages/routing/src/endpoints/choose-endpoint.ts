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
Chooses the endpoint with the lowest cost, or returns `undefined` when no endpoint can serve the request. Pure.

An endpoint with free capacity is preferred to one without, whatever their costs. Endpoints that the request has already been sent
to and those that `findExclusion` excludes are left out. `deckwheeld` passes `scoreByCost` by default, the entry host on a
platform passes `scoreByAffinity`.

@param now Monotonic ms.
@param scoreEndpoint The routing policy.
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
