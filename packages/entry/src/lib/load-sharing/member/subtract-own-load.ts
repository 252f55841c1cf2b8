import type {EndpointIndex} from '../wire/endpoint-index.js';
import type {LoadRow} from '../wire/load-row.js';
import {promptUnitTokens} from '../wire/prompt-unit-tokens.js';
import type {OpenLoad} from './open-load.js';

/**
Returns the load of other hosts, by the id of the endpoint, from totals and what this host had sent before they were added up. Endpoints
that are not listed are left out. Pure.
*/
export const subtractOwnLoad = (totals: readonly LoadRow[], ownRows: readonly LoadRow[], {idOf}: EndpointIndex): ReadonlyMap<string, OpenLoad> => {
	const own = new Map(ownRows.map(row => [row.endpoint, row]));
	return new Map(totals.flatMap(({endpoint, open, promptUnits}): ReadonlyArray<readonly [string, OpenLoad]> => {
		const id = idOf.get(endpoint);
		return id === undefined
			? []
			: [[id, {
				open: Math.max(0, open - (own.get(endpoint)?.open ?? 0)),
				pendingPromptTokens: Math.max(0, promptUnits - (own.get(endpoint)?.promptUnits ?? 0)) * promptUnitTokens,
			}]];
	}));
};
