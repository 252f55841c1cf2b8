import {sampleOf} from '@deckwheel/core';
import type {ScoreEndpoint} from '../scoring/score-endpoint.js';
import type {ScoredEndpoint} from '../scoring/scored-endpoint.js';
import type {EndpointCandidates} from './endpoint-candidates.js';
import type {EndpointChoice} from './endpoint-choice.js';
import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointTable} from './endpoint-table.js';
import {findBest} from './find-best.js';
import {scoreEndedEndpoints} from './score-ended-endpoints.js';
import {scoreOpenEndpoints} from './score-open-endpoints.js';
import {toEndpointChoice} from './to-endpoint-choice.js';

/** The factor by which the second sample is larger than the first, before all endpoints are scored. */
const widening = 4;

type Options<R extends EndpointRequest> = {
	readonly candidates: EndpointCandidates;
	/** The routing policy. */
	readonly scoreEndpoint: ScoreEndpoint<R>;
	/** How many endpoints of the near hall are drawn at random; half as many are drawn of the others. */
	readonly randomCount: number;
	/** Returns a random number from 0 up to but not including 1. */
	readonly random: () => number;
};

// Of a service with more than a few endpoints, at most half are drawn: hosts that know the same load would else all choose the same one.
const firstSample = (ids: readonly string[], count: number, random: () => number): readonly string[] =>
	sampleOf(ids, Math.min(count, Math.max(2, Math.ceil(ids.length / 2))), random);

/**
Chooses the endpoint with the lowest cost among a few: the favoured ones, and some drawn at random. Where none of them is open to the
request with free capacity, more are drawn, and then all endpoints are scored; as a last resort, those that have ended. Returns `undefined` when no endpoint can serve the
request. Pure, but for `random`.

Hosts that share their load know the same of each endpoint, and it is old by the time that a report takes. If each chose the best of
all endpoints, they would all send to that one until the next report. So each looks at other endpoints, and ties are broken at random.

@param now Monotonic ms.
*/
export const chooseAmongCandidates = <R extends EndpointRequest>(table: EndpointTable, request: R, now: number, options: Options<R>): EndpointChoice | undefined => {
	const {candidates: {favoured, near, far}, scoreEndpoint, randomCount, random} = options;
	const scoreAll = (ids: Iterable<string>): readonly ScoredEndpoint[] =>
		scoreOpenEndpoints([...ids].map(id => table.get(id)).filter(state => state !== undefined), request, now, scoreEndpoint);

	const bestOf = (scored: readonly ScoredEndpoint[]): ScoredEndpoint | undefined => {
		const ranks = new Map(scored.map(({endpoint}) => [endpoint, random()]));
		return findBest(scored, (a, b) => ranks.get(a.endpoint)! < ranks.get(b.endpoint)!);
	};

	const farCount = Math.ceil(randomCount / 2);
	const first = bestOf(scoreAll(new Set([...favoured, ...firstSample(near, randomCount, random), ...firstSample(far, farCount, random)])));
	if (first?.hasCapacity) {
		return toEndpointChoice(first);
	}

	const second = bestOf(scoreAll(new Set([...sampleOf(near, randomCount * widening, random), ...sampleOf(far, farCount * widening, random)])));
	if (second?.hasCapacity) {
		return toEndpointChoice(second);
	}

	const open = scoreAll([...near, ...far]);
	const withCapacity = open.filter(({hasCapacity}) => hasCapacity);
	const best = bestOf(sampleOf(withCapacity.length > 0 ? withCapacity : open, randomCount, random)) ?? bestOf(scoreEndedEndpoints(table.values(), request, now, scoreEndpoint));
	return best && toEndpointChoice(best);
};
