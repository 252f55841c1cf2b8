import {firstByRendezvous} from '@deckwheel/core';
import {LRUCache} from 'lru-cache';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** Shared parts of prompts whose preferred endpoint is remembered: a bound on memory. */
const maxRememberedParts = 5000;

/** Where all hosts send the prompts that share a part first, without asking each other. */
type PreferredEndpoints = {
	/** Takes in the endpoints in use. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** The life of the endpoint that a service's prompts with this shared part go to; `undefined` where the service has none that stays. */
	readonly endpointFor: (service: string, part: string) => string | undefined;
};

/**
Creates a choice among no endpoints.

It goes by the names of endpoints and not by their lives: one that starts again gets the same prompts, and no other has to read
what it read.
*/
export const createPreferredEndpoints = (): PreferredEndpoints => {
	/** Lives of endpoints that stay, by service and name, as far as they were asked for since the last list. */
	const incarnationsByService = new Map<string, ReadonlyMap<string, string>>();
	const preferred = new LRUCache<string, string>({max: maxRememberedParts});
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
		endpointFor(service, part) {
			const key = `${service}\n${part}`;
			const cached = preferred.get(key);
			if (cached !== undefined) {
				return cached;
			}

			const incarnations = incarnationsOf(service);
			const name = firstByRendezvous(part, [...incarnations.keys()]);
			const found = name === undefined ? undefined : incarnations.get(name);
			preferred.set(key, found);
			return found;
		},
	};
};
