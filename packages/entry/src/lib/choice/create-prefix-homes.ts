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

type HomeOptions = {
	/** How many endpoints the service has. */
	readonly endpointCount: number;
	/** How many endpoints are ranked at least. */
	readonly minRanked: number;
	/** The pace of an endpoint (`EndpointLoad`). */
	readonly paceOf: (endpoint: string) => number;
};

/**
From this pace on an endpoint is no home of prompts: whatever it has cached, most prompts have their first event sooner elsewhere, and would be
read there anew each time.
*/
const slowPace = 1.5;

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
	/** Returns the homes of a part by its demand and by the load and pace of endpoints. */
	readonly homesOf: (service: string, part: string, options: HomeOptions) => Homes;
};

/**
Creates the homes of a host; there are none before the first `list`.

A part that many requests share has several homes, so that no endpoint gets many more requests than others. An endpoint that is usually
busier than others, for instance since it is the first one for several parts, or that is slow, is a home only where no other one is ranked.
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
		homesOf(service, part, {endpointCount, minRanked, paceOf}) {
			const spread = demand.spreadOf(service, part, endpointCount);
			const ranked = preferred.rankedFor(service, part, Math.max(spread, minRanked));
			const isLast = (endpoint: string): boolean => usualLoad.isHeavy(service, endpoint) || paceOf(endpoint) >= slowPace;
			return {homes: [...ranked.filter(id => !isLast(id)), ...ranked.filter(id => isLast(id))].slice(0, spread), ranked};
		},
	};
};
