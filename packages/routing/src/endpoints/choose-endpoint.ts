import type {ScoreEndpoint} from '../scoring/score-endpoint.js';
import type {ScoredEndpoint} from '../scoring/scored-endpoint.js';
import type {EndpointTable} from './endpoint-table.js';
import type {EndpointChoice} from './endpoint-choice.js';
import type {EndpointRequest} from './endpoint-request.js';
import {findBest} from './find-best.js';
import {scoreEndedEndpoints} from './score-ended-endpoints.js';
import {scoreOpenEndpoints} from './score-open-endpoints.js';
import {toEndpointChoice} from './to-endpoint-choice.js';

const bestOf = (scored: readonly ScoredEndpoint[]): ScoredEndpoint | undefined => findBest(scored, (a, b) => a.endpoint < b.endpoint);

/**
Chooses the endpoint with the lowest cost, or returns `undefined` when no endpoint can serve the request. Pure.

An endpoint with free capacity is preferred to one without, whatever their costs. Endpoints that the request has already been sent
to and those that `findExclusion` excludes are left out. Only where that leaves none, endpoints are considered that are excluded because
they have ended, since a report of that may be false. `deckwheeld` passes `scoreByCost` by default, the entry host on a
platform passes `scoreByAffinity` where it does not know the load of other hosts (`chooseAmongCandidates` otherwise).

@param now Monotonic ms.
@param scoreEndpoint The routing policy.
*/
export const chooseEndpoint = <R extends EndpointRequest>(table: EndpointTable, request: R, now: number, scoreEndpoint: ScoreEndpoint<R>): EndpointChoice | undefined => {
	const best = bestOf(scoreOpenEndpoints(table.values(), request, now, scoreEndpoint)) ?? bestOf(scoreEndedEndpoints(table.values(), request, now, scoreEndpoint));
	return best && toEndpointChoice(best);
};
