import type {ScoreEndpoint} from '../scoring/score-endpoint.js';
import type {ScoredEndpoint} from '../scoring/scored-endpoint.js';
import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointState} from './endpoint-state.js';
import {findExclusion} from './find-exclusion.js';

/**
Scores those of some endpoints that are closed to a request for the only reason that they have ended, as far as this host knows. A report of
that may be false, so they are a last resort. Pure.

@param now Monotonic ms.
*/
export const scoreEndedEndpoints = <R extends EndpointRequest>(states: Iterable<EndpointState>, request: R, now: number, scoreEndpoint: ScoreEndpoint<R>): readonly ScoredEndpoint[] =>
	[...states]
		.filter(state => !request.tried.includes(state.info.id) && findExclusion(state, request, now)?.reason === 'ended')
		.map(state => scoreEndpoint(state, request, now));
