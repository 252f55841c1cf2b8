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

const betterOf = (best: ScoredEndpoint | undefined, candidate: ScoredEndpoint | undefined): ScoredEndpoint | undefined =>
	candidate && (!best || isBetter(candidate, best)) ? candidate : best;

/**
Chooses the endpoint with the lowest cost, or returns `undefined` when no endpoint can serve the request. Pure.

An endpoint with free capacity is preferred to one without, whatever their costs. Endpoints that the request has already been sent
to and those that `findExclusion` excludes are left out. Only where that leaves none, endpoints are considered that are excluded because
they have ended, since a report of that may be false. `deckwheeld` passes `scoreByCost` by default, the entry host on a
platform passes `scoreByAffinity`.

@param now Monotonic ms.
@param scoreEndpoint The routing policy.
*/
export const chooseEndpoint = <R extends EndpointRequest>(table: EndpointTable, request: R, now: number, scoreEndpoint: ScoreEndpoint<R>): EndpointChoice | undefined => {
	let bestOpen: ScoredEndpoint | undefined;
	let bestEnded: ScoredEndpoint | undefined;
	for (const state of table.values()) {
		const exclusion = findExclusion(state, request, now);
		if (request.tried.includes(state.info.id) || (exclusion && exclusion.reason !== 'ended')) {
			continue;
		}

		const scored = scoreEndpoint(state, request, now);
		if (exclusion) {
			bestEnded = betterOf(bestEnded, scored);
		} else {
			bestOpen = betterOf(bestOpen, scored);
		}
	}

	const best = bestOpen ?? bestEnded;
	return best && {
		endpoint: best.endpoint, reason: best.reason(), hasCapacity: best.hasCapacity,
	};
};
