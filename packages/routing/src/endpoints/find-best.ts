import type {ScoredEndpoint} from '../scoring/scored-endpoint.js';

/**
Finds the best of some scored endpoints; `undefined` where there is none. Pure.

An endpoint with free capacity is preferred to one without, whatever their costs.

@param winsTie Whether an endpoint is preferred to another one that has the same cost.
*/
export const findBest = (scored: readonly ScoredEndpoint[], winsTie: (a: ScoredEndpoint, b: ScoredEndpoint) => boolean): ScoredEndpoint | undefined => {
	const isBetter = (a: ScoredEndpoint, b: ScoredEndpoint): boolean => {
		if (a.hasCapacity !== b.hasCapacity) {
			return a.hasCapacity;
		}

		return a.cost === b.cost ? winsTie(a, b) : a.cost < b.cost;
	};

	let best: ScoredEndpoint | undefined;
	for (const candidate of scored) {
		if (!best || isBetter(candidate, best)) {
			best = candidate;
		}
	}

	return best;
};
