import {median} from '../lib/median.js';
import type {MeasuredEndpoint} from './measured-endpoint.js';

/** The bounds of a pace. Beyond them, an endpoint is more likely to be measured wrongly than to be that fast or slow. */
const minPace = 0.25;
const maxPace = 4;

/** Returns the pace of each endpoint (`EndpointLoad`): its typical time as a multiple of the median over the endpoints of its group. */
export const relativePaces = <Id>(endpoints: ReadonlyArray<MeasuredEndpoint<Id>>): ReadonlyMap<Id, number> => {
	const times = new Map<string, number[]>();
	for (const {group, ms} of endpoints) {
		const ofGroup = times.get(group) ?? [];
		ofGroup.push(ms);
		times.set(group, ofGroup);
	}

	const typical = new Map([...times].map(([group, all]) => [group, median(all)!]));
	return new Map(endpoints.map(({endpoint, group, ms}) => [endpoint, Math.min(maxPace, Math.max(minPace, ms / typical.get(group)!))]));
};
