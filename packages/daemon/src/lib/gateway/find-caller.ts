import {hashApiKey, type AdoptedBundle} from '@deckwheel/bundle';
import type {Caller} from './caller.js';

const indexes = new WeakMap<AdoptedBundle, ReadonlyMap<string, Caller>>();

const indexOf = (adopted: AdoptedBundle): ReadonlyMap<string, Caller> => {
	const known = indexes.get(adopted);
	if (known) {
		return known;
	}

	const entries = adopted.bundle.organisations.flatMap(({id, weight, priority, apiKeys}) =>
		apiKeys.map(({sha256, budget}) => [sha256, {
			organisation: id, budget, weight, priority,
		}] as const));
	const index = new Map(entries);
	indexes.set(adopted, index);
	return index;
};

/** The caller that an `authorization` header names, if the bundle knows its API key. */
export const findCaller = (adopted: AdoptedBundle, authorization: string): Caller | undefined => {
	const apiKey = /^Bearer (?<key>\S+)$/.exec(authorization)?.groups?.key;
	return apiKey === undefined ? undefined : indexOf(adopted).get(hashApiKey(apiKey));
};
