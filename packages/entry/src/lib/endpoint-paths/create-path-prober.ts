import {sampleOf} from '@deckwheel/core';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {PathEvent} from './path-event.js';
import type {PathState} from './path-state.js';

/** How many lost endpoints are probed at once, so that none of a large group counts as lost for long after the links are back. */
const maxProbedAtOnce = 8;

/** What a probe of a group needs to know of it. */
type Group = {
	readonly state: PathState;
	readonly endpoints: readonly ListedEndpoint[];
	/** The endpoint of the oldest attempt that is open over a connection of this host; `undefined` if none is open. */
	readonly oldestTried: ListedEndpoint | undefined;
};

type Options = {
	/** Tries to connect to an `ip:port`; true if the connection was accepted. */
	readonly probe: (address: string) => Promise<boolean>;
	/** Whether a peer reaches an endpoint. */
	readonly isReachedByPeer: (endpoint: ListedEndpoint) => Promise<boolean>;
	/** A random number from 0 up to 1. */
	readonly random: () => number;
};

/**
Creates the function that probes a group of endpoints, and calls `onEvent` with what it finds, with `probe_ended` last.

Where endpoints count as lost, these are probed; in a group that is lost as a whole any one, since those that were not tried may be in reach.
Otherwise the probe finds out whether the oldest open attempt waits for a slow endpoint or on a link that is cut.
*/
export const createPathProber = ({probe, isReachedByPeer, random}: Options) => async ({state, endpoints, oldestTried}: Group, onEvent: (event: PathEvent) => void): Promise<void> => {
	const probeEndpoint = async ({id, address}: ListedEndpoint): Promise<boolean> => {
		const isReached = await probe(address);
		if (isReached) {
			onEvent({type: 'connected', endpoint: id});
		}

		return isReached;
	};

	const probeLost = async (): Promise<boolean> => {
		const doubtful = endpoints.filter(({id}) => state.isAllLost || state.lost.has(id));
		const results = await Promise.all(sampleOf(doubtful, state.isAllLost ? 1 : maxProbedAtOnce, random).map(async endpoint => probeEndpoint(endpoint)));
		return results.includes(true);
	};

	const probeQuiet = async (endpoint: ListedEndpoint): Promise<boolean> => {
		const isReached = await probeEndpoint(endpoint);
		if (!isReached && await isReachedByPeer(endpoint)) {
			onEvent({type: 'silence_confirmed', endpoint: endpoint.id});
		}

		return isReached;
	};

	const isAnyLost = state.isAllLost || state.lost.size > 0;
	const hasConnected = isAnyLost ? await probeLost() : oldestTried !== undefined && await probeQuiet(oldestTried);
	onEvent({type: 'probe_ended', hasConnected});
};
