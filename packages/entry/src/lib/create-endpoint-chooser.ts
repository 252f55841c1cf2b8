import {firstByRendezvous} from '@deckwheel/core';
import {
	chooseEndpoint, rateByAffinity, stepEndpoints, type EndpointTable,
} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {ListedEndpoint} from '../listed-endpoint.js';
import {createPrefixBeliefs} from './create-prefix-beliefs.js';
import type {EndpointChooser} from './endpoint-chooser.js';
import type {PromptPart} from './prompt-part.js';

// The deepest part that a prompt shares with others decides where it is read.
const affinityKey = (parts: readonly PromptPart[]): string | undefined => parts.at(-2)?.id;

/** Shared parts of prompts whose home is remembered. */
const maxHomes = 5000;

/**
Creates the task that knows the endpoints.

@param hall The host's own.
@param isLost Whether another hall is out of reach.
@param now Monotonic ms.
*/
export const createEndpointChooser = (hall: string, isLost: (hall: string) => boolean, now: () => number): EndpointChooser => {
	const beliefs = createPrefixBeliefs();
	/** What was worked out since the last list of endpoints. */
	const members = new Map<string, readonly string[]>();
	const homes = new LRUCache<string, string>({max: maxHomes});
	let halls: readonly string[] = [];
	let table: EndpointTable = new Map();
	let byId: ReadonlyMap<string, ListedEndpoint> = new Map();

	const membersOf = (service: string): readonly string[] => {
		const found = members.get(service) ?? [...byId.values()].filter(({serves, isLeaving}) => !isLeaving && serves.includes(service)).map(({id}) => id);
		members.set(service, found);
		return found;
	};

	const homeOf = (service: string, key: string): string | undefined => {
		const name = `${service}\n${key}`;
		const home = homes.get(name) ?? firstByRendezvous(key, membersOf(service));
		homes.set(name, home);
		return home;
	};

	return {
		list(endpoints) {
			byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
			table = stepEndpoints(table, {type: 'configured', endpoints}, now());
			halls = [...new Set(endpoints.map(endpoint => endpoint.hall))];
			members.clear();
			homes.clear();
		},
		choose(service, parts, tried, avoided) {
			const key = affinityKey(parts);
			const home = key === undefined ? undefined : homeOf(service, key);
			const choice = chooseEndpoint(table, {
				target: service,
				hall,
				cachedTokens: endpoint => beliefs.cachedTokens(endpoint, parts, home),
				promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
				lostHalls: new Set(halls.filter(name => isLost(name))),
				avoidedHalls: avoided,
				tried,
			}, now(), rateByAffinity);
			if (!choice) {
				return undefined;
			}

			beliefs.note(choice.endpoint, parts);
			return {endpoint: byId.get(choice.endpoint)!, reason: choice.reason};
		},
		note(event) {
			table = stepEndpoints(table, event, now());
		},
	};
};
