import {firstByRendezvous} from '@deckwheel/core';
import {
	chooseEndpoint, rateByAffinity, stepEndpoints, type EndpointTable,
} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {PromptPart} from '../admission/prompt-part.js';
import {createPrefixCacheEstimate} from './create-prefix-cache-estimate.js';
import type {EndpointChooser} from './endpoint-chooser.js';

// The deepest part that a prompt shares with others decides where it is read.
const affinityKey = (parts: readonly PromptPart[]): string | undefined => parts.at(-2)?.id;

/** Shared parts of prompts whose preferred endpoint is remembered: a bound on memory; chosen without a measurement. */
const maxPreferred = 5000;

/**
Creates the task that knows the endpoints.

@param hall The host's own.
@param isLost Whether another hall is out of reach.
@param now Monotonic ms.
*/
export const createEndpointChooser = (hall: string, isLost: (hall: string) => boolean, now: () => number): EndpointChooser => {
	const cacheEstimate = createPrefixCacheEstimate();
	/** What was worked out since the last list of endpoints. */
	const members = new Map<string, ReadonlyMap<string, string>>();
	const preferredEndpoints = new LRUCache<string, string>({max: maxPreferred});
	let halls: readonly string[] = [];
	let table: EndpointTable = new Map();
	let byId: ReadonlyMap<string, ListedEndpoint> = new Map();

	/** Lives of a service's endpoints that stay, by the endpoints' names. */
	const membersOf = (service: string): ReadonlyMap<string, string> => {
		const known = members.get(service);
		if (known) {
			return known;
		}

		const staying = [...byId.values()].filter(({serves, isLeaving}) => !isLeaving && serves.includes(service));
		const found = new Map(staying.map(({instance, id}) => [instance, id]));
		members.set(service, found);
		return found;
	};

	const preferredFor = (service: string, key: string): string | undefined => {
		const name = `${service}\n${key}`;
		const known = preferredEndpoints.get(name);
		if (known !== undefined) {
			return known;
		}

		// By name and not by life: an endpoint that starts again gets the same prompts, and no other has to read what it read.
		const endpoints = membersOf(service);
		const instance = firstByRendezvous(key, [...endpoints.keys()]);
		const preferred = instance === undefined ? undefined : endpoints.get(instance);
		preferredEndpoints.set(name, preferred);
		return preferred;
	};

	return {
		list(endpoints) {
			byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
			table = stepEndpoints(table, {type: 'configured', endpoints}, now());
			halls = [...new Set(endpoints.map(endpoint => endpoint.hall))];
			members.clear();
			preferredEndpoints.clear();
		},
		choose(service, parts, tried, avoided) {
			const key = affinityKey(parts);
			const preferred = key === undefined ? undefined : preferredFor(service, key);
			const choice = chooseEndpoint(table, {
				target: service,
				hall,
				cachedTokens: endpoint => cacheEstimate.cachedTokens(endpoint, parts, preferred),
				promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
				lostHalls: new Set(halls.filter(name => isLost(name))),
				avoidedHalls: avoided,
				tried,
			}, now(), rateByAffinity);
			if (!choice) {
				return undefined;
			}

			cacheEstimate.note(choice.endpoint, parts);
			return {endpoint: byId.get(choice.endpoint)!, reason: choice.reason};
		},
		note(event) {
			table = stepEndpoints(table, event, now());
		},
	};
};
