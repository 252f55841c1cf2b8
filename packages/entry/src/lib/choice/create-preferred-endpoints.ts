import {firstByRendezvous, rankByRendezvous} from '@deckwheel/core';
import {LRUCache} from 'lru-cache';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** The maximum number of shared prompt parts, over all services, whose preferred endpoints are remembered: a bound on memory. */
const maxRememberedParts = 5000;

/** The endpoints that all hosts prefer for prompts with the same shared part, without asking each other. */
type PreferredEndpoints = {
	/** Replaces the endpoints that can be preferred. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/**
	Returns the identifiers of up to `count` endpoints, in their present incarnations, that are preferred for a service's prompts with a
	shared part, the most preferred one first. There are none where the service has no endpoint, or only endpoints that leave.
	*/
	readonly rankedFor: (service: string, part: string, count: number) => readonly string[];
};

/** Returns the first `count` names by rendezvous hashing. One is found without sorting the others. */
const rankNames = (part: string, names: readonly string[], count: number): readonly string[] => {
	const first = count === 1 ? firstByRendezvous(part, names) : undefined;
	return first === undefined ? rankByRendezvous(part, names).slice(0, count) : [first];
};

/**
Creates the preferred endpoints of a host; there are none before the first `list`.

The preferred endpoints follow from the names of endpoints and not from their identifiers, which change with each incarnation. So a
restarted endpoint gets the same prompts as before, and no other endpoint has to prefill these anew.
*/
export const createPreferredEndpoints = (): PreferredEndpoints => {
	/** Identifiers of the endpoints that do not leave, by service and endpoint name. Filled for a service when it is first looked up after a list. */
	const incarnationsByService = new Map<string, ReadonlyMap<string, string>>();
	const preferred = new LRUCache<string, readonly string[]>({max: maxRememberedParts});
	let endpoints: readonly ListedEndpoint[] = [];

	const incarnationsOf = (service: string): ReadonlyMap<string, string> => {
		const cached = incarnationsByService.get(service);
		if (cached) {
			return cached;
		}

		const staying = endpoints.filter(({serves, isLeaving}) => !isLeaving && serves.includes(service));
		const found = new Map(staying.map(({instance, id}) => [instance, id]));
		incarnationsByService.set(service, found);
		return found;
	};

	return {
		list(next) {
			endpoints = next;
			incarnationsByService.clear();
			preferred.clear();
		},
		rankedFor(service, part, count) {
			const key = `${count}\n${service}\n${part}`;
			const cached = preferred.get(key);
			if (cached) {
				return cached;
			}

			const incarnations = incarnationsOf(service);
			const found = rankNames(part, [...incarnations.keys()], count).map(name => incarnations.get(name)!);
			preferred.set(key, found);
			return found;
		},
	};
};
