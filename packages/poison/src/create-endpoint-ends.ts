import type {ProbeResult} from '@deckwheel/host-kit';
import {LRUCache} from 'lru-cache';
import type {SuspectedEndpoint} from './suspected-endpoint.js';
import type {EndpointEnds} from './endpoint-ends.js';

/** Lives of endpoints that are known to have ended: a bound on memory. Those of one burst are asked for together. */
const maxEnded = 1000;

/**
Creates a watch that knows of no end.

A run that breaks off may be the fault of its connection, and then says nothing of the request; a port that refuses connections
right after it shows that the process is gone. A process that is back within a millisecond goes unnoticed.

@param probe Tries a connection to an address.
*/
export const createEndpointEnds = (probe: (address: string) => Promise<ProbeResult>): EndpointEnds => {
	const ended = new LRUCache<string, true>({max: maxEnded});
	const probing = new Map<string, Promise<boolean>>();

	const ask = async ({id, address}: SuspectedEndpoint): Promise<boolean> => {
		const isRefused = await probe(address) === 'refused';
		probing.delete(id);
		if (isRefused) {
			ended.set(id, true);
		}

		return isRefused;
	};

	return {
		async hasEnded(endpoint) {
			if (ended.has(endpoint.id)) {
				return true;
			}

			const asked = probing.get(endpoint.id) ?? ask(endpoint);
			probing.set(endpoint.id, asked);
			return asked;
		},
	};
};
