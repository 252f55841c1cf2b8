import {LRUCache} from 'lru-cache';
import {readEntries} from './wire/read-entries.js';

/** For how long hosts tell each other that an endpoint ended, in ms. Later, the platform's list has left the endpoint out. */
const tellMs = 5000;

/** For how long an ended endpoint is remembered, in ms: longer than a peer may still tell of it. */
const rememberMs = 2 * tellMs;

/** The most ended endpoints that are remembered: a bound on the size of a message. */
const maxEndpoints = 500;

/** The endpoints that hosts found ended a short time ago, by the hashes of their ids. */
type EndedEndpoints = {
	/** Notes that this host found an endpoint ended. Does nothing for a known one. */
	readonly note: (endpoint: number) => void;
	/** Notes what a peer told. */
	readonly merge: (told: readonly number[]) => void;
	/** What to tell peers: hash and age in ms of each endpoint, as a flat list. */
	readonly toTell: () => number[];
};

type Options = {
	/** Called with an endpoint of which a peer told, if this host did not know it to have ended. */
	readonly onTold: (endpoint: number) => void;
	/** Called with the number of entries that were left out because they cannot be true. */
	readonly onLeftOut: (count: number) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates an empty set. */
export const createEndedEndpoints = ({onTold, onLeftOut, now}: Options): EndedEndpoints => {
	const endedAt = new LRUCache<number, number>({max: maxEndpoints});

	const isKnown = (endpoint: number): boolean => now() - (endedAt.get(endpoint) ?? Number.NEGATIVE_INFINITY) < rememberMs;

	return {
		note(endpoint) {
			if (!isKnown(endpoint)) {
				endedAt.set(endpoint, now());
			}
		},
		merge(told) {
			const {entries, leftOut} = readEntries(told, 2, ([endpoint, ageMs]) => ageMs! >= 0 ? {endpoint: endpoint!, ageMs: ageMs!} : undefined);
			onLeftOut(leftOut);
			for (const {endpoint, ageMs} of entries) {
				if (ageMs < tellMs && !isKnown(endpoint)) {
					endedAt.set(endpoint, now() - ageMs);
					onTold(endpoint);
				}
			}
		},
		toTell: () => [...endedAt].flatMap(([endpoint, at]) => now() - at < tellMs ? [endpoint, Math.round(now() - at)] : []),
	};
};
