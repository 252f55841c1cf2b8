import type {ProbeResult} from '@deckwheel/host-kit';
import {LRUCache} from 'lru-cache';
import type {SuspectedEndpoint} from './suspected-endpoint.js';
import type {CrashDetector} from './crash-detector.js';

/** The most endpoint incarnations that are remembered as crashed: a bound on memory. The lost runs of one burst are checked together. */
const maxCrashed = 1000;

/**
Creates a crash detector that knows of no crash.

A run may break off because its connection failed, which says nothing about the request. A port that refuses connections right after
the run broke off shows that the endpoint's process is gone. The crash of a process that restarts within a millisecond is not detected.

@param probe Tries to connect to an endpoint. `refused` has to mean that nothing listens there, not that the way there is cut.
*/
export const createCrashDetector = (probe: (endpoint: SuspectedEndpoint) => Promise<ProbeResult>): CrashDetector => {
	const crashed = new LRUCache<string, true>({max: maxCrashed});
	const probing = new Map<string, Promise<boolean>>();

	const probeEndpoint = async (endpoint: SuspectedEndpoint): Promise<boolean> => {
		const {id} = endpoint;
		const isRefused = await probe(endpoint) === 'refused';
		probing.delete(id);
		if (isRefused) {
			crashed.set(id, true);
		}

		return isRefused;
	};

	return {
		async hasCrashed(endpoint) {
			if (crashed.has(endpoint.id)) {
				return true;
			}

			const pendingProbe = probing.get(endpoint.id) ?? probeEndpoint(endpoint);
			probing.set(endpoint.id, pendingProbe);
			return pendingProbe;
		},
	};
};
