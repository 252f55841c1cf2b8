import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointTable} from './endpoint-table.js';
import {isServing} from './is-serving.js';

/**
When the first of the endpoints that could serve this takes requests again, in monotonic ms, where all of them asked for rest;
`undefined` where one takes them now, or where there is none. Pure.
*/
export const restOfAll = (table: EndpointTable, request: Pick<EndpointRequest, 'target' | 'hall' | 'lostHalls'>, now: number): number | undefined => {
	const ends = [...table.values()].filter(state => isServing(state, request, now)).map(({restUntil}) => restUntil);
	const first = Math.min(...ends);
	return ends.length > 0 && first > now ? first : undefined;
};
