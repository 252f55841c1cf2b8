import {groupBy} from '@deckwheel/core';
import {median} from '../lib/median.js';
import type {MeasuredEndpoint} from './measured-endpoint.js';

/**
The smallest pace, as a multiple of the median of the group. An endpoint that is wrongly measured as very fast would draw the requests of all
hosts, whose callers would then wait there; with this bound, it draws about four times its share at most.
*/
const minPace = 0.25;

/**
The largest pace, as a multiple of the median of the group. An endpoint of this pace gets a request where the others have about four times as much
to do. Callers who would wait that long elsewhere need its room, also if it was wrongly measured as slower still.
*/
const maxPace = 4;

/** Returns the pace of each endpoint (`EndpointLoad`): its typical time as a multiple of the median over the endpoints of its group. */
export const relativePaces = <Id>(endpoints: ReadonlyArray<MeasuredEndpoint<Id>>): ReadonlyMap<Id, number> => {
	const typical = new Map([...groupBy(endpoints, ({group}) => group)].map(([group, members]) => [group, median(members.map(({ms}) => ms))!]));
	return new Map(endpoints.map(({endpoint, group, ms}) => [endpoint, Math.min(maxPace, Math.max(minPace, ms / typical.get(group)!))]));
};
