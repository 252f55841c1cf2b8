import {rankByRendezvous} from '@deckwheel/core';
import {
	chooseEndpoint, rateByAffinity, stepEndpoints, type EndpointTable,
} from '@deckwheel/routing';
import type {ListedEndpoint} from '../listed-endpoint.js';
import {createPrefixBeliefs} from './create-prefix-beliefs.js';
import type {EndpointChooser} from './endpoint-chooser.js';
import type {PromptPart} from './prompt-part.js';

// The deepest part that a prompt shares with others decides where it is read.
const affinityKey = (parts: readonly PromptPart[]): string | undefined => parts.at(-2)?.id;

/**
Creates the task that knows the endpoints.

@param hall The host's own.
@param now Monotonic ms.
*/
export const createEndpointChooser = (hall: string, now: () => number): EndpointChooser => {
	const beliefs = createPrefixBeliefs();
	let table: EndpointTable = new Map();
	let byId: ReadonlyMap<string, ListedEndpoint> = new Map();

	const homeOf = (service: string, key: string): string | undefined => {
		const members = [...byId.values()].filter(({serves, isLeaving}) => !isLeaving && serves.includes(service)).map(({id}) => id);
		return rankByRendezvous(key, members)[0];
	};

	return {
		list(endpoints) {
			byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
			table = stepEndpoints(table, {type: 'configured', endpoints}, now());
			beliefs.keepOnly(new Set(byId.keys()));
		},
		choose(service, parts, tried) {
			const key = affinityKey(parts);
			const home = key === undefined ? undefined : homeOf(service, key);
			const choice = chooseEndpoint(table, {
				target: service,
				hall,
				priority: 'normal',
				deadline: 0,
				quickShare: 0,
				cachedTokens: endpoint => beliefs.cachedTokens(endpoint, parts, home),
				promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
				tried,
			}, now(), rateByAffinity);
			if (!choice) {
				return undefined;
			}

			beliefs.note(choice.endpoint, parts);
			return {endpoint: byId.get(choice.endpoint)!, reason: choice.reason, hasRoom: choice.hasRoom};
		},
		note(event) {
			table = stepEndpoints(table, event, now());
		},
	};
};
