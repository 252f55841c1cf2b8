import type {EndpointExclusion} from './endpoint-exclusion.js';
import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointTable} from './endpoint-table.js';
import {findExclusion} from './find-exclusion.js';

/** Counts the endpoints of a service that are excluded for a request, by the reason. Pure. */
export const countExclusions = (table: EndpointTable, request: Omit<EndpointRequest, 'tried'>, now: number): ReadonlyMap<EndpointExclusion['reason'], number> => {
	const counts = new Map<EndpointExclusion['reason'], number>();
	for (const state of table.values()) {
		const reason = state.info.serves.includes(request.target) ? findExclusion(state, request, now)?.reason : undefined;
		if (reason !== undefined) {
			counts.set(reason, (counts.get(reason) ?? 0) + 1);
		}
	}

	return counts;
};
