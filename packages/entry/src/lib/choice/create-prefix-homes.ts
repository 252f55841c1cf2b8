import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {createPreferredEndpoints} from './create-preferred-endpoints.js';
import {createPrefixDemand} from './create-prefix-demand.js';
import {createUsualLoad} from './create-usual-load.js';

/** The endpoints to which the prompts with one shared part go. */
type Homes = {
	/** Those that count as having the part cached. */
	readonly homes: readonly string[];
	/** The homes, and those that are the next ones when these are busy. */
	readonly ranked: readonly string[];
};

/** Where the prompts with a shared part are at home. Hosts that know the same load agree on it without asking each other. */
type PrefixHomes = {
	/** Replaces the endpoints that can be a home. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Notes a request of a service, with the shared part of its prompt; `undefined` for a request without one. */
	readonly noteRequest: (service: string, part: string | undefined) => void;
	/** Notes how many requests are open at an endpoint of a service now. */
	readonly noteOpen: (service: string, endpoint: string, open: number) => void;
	/** Returns the only home of a part in a host that does not know the load of endpoints: there is one, or none without endpoints. */
	readonly firstOf: (service: string, part: string) => Homes;
	/** Returns the homes of a part by its demand and by the load of endpoints, among at least `minRanked` ranked endpoints of `endpointCount`. */
	readonly homesOf: (service: string, part: string, counts: {readonly endpointCount: number; readonly minRanked: number}) => Homes;
};

/**
Creates the homes of a host; there are none before the first `list`.

A part that many requests share has several homes, so that no endpoint gets many more requests than others. An endpoint that is usually
busier than others, for instance since it is the first one for several parts, is a home only where no other one is ranked.
*/
export const createPrefixHomes = (now: () => number): PrefixHomes => {
	const preferred = createPreferredEndpoints();
	const demand = createPrefixDemand(now);
	const usualLoad = createUsualLoad(now);

	return {
		list: preferred.list,
		noteRequest: demand.note,
		noteOpen: usualLoad.note,
		firstOf(service, part) {
			const ranked = preferred.rankedFor(service, part, 1);
			return {homes: ranked, ranked};
		},
		homesOf(service, part, {endpointCount, minRanked}) {
			const spread = demand.spreadOf(service, part, endpointCount);
			const ranked = preferred.rankedFor(service, part, Math.max(spread, minRanked));
			const isHeavy = (endpoint: string): boolean => usualLoad.isHeavy(service, endpoint);
			return {homes: [...ranked.filter(id => !isHeavy(id)), ...ranked.filter(id => isHeavy(id))].slice(0, spread), ranked};
		},
	};
};
