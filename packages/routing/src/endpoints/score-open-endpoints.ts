import type {ScoreEndpoint} from '../scoring/score-endpoint.js';
import type {ScoredEndpoint} from '../scoring/scored-endpoint.js';
import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointState} from './endpoint-state.js';
import {findExclusion} from './find-exclusion.js';

/**
Scores those of some endpoints that are open to a request: the request has not been sent to them yet, and `findExclusion` excludes none
of them. Pure.

@param now Monotonic ms.
*/
export const scoreOpenEndpoints = <R extends EndpointRequest>(states: Iterable<EndpointState>, request: R, now: number, scoreEndpoint: ScoreEndpoint<R>): readonly ScoredEndpoint[] => {
	const scored: ScoredEndpoint[] = [];
	for (const state of states) {
		if (!request.tried.includes(state.info.id) && !findExclusion(state, request, now)) {
			scored.push(scoreEndpoint(state, request, now));
		}
	}

	return scored;
};
