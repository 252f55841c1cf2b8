import {probeAddress} from '@deckwheel/host-kit';
import type {Bounds} from '../../adapter/bounds.js';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Log} from '../../adapter/log.js';
import type {Timeouts} from '../../timeouts.js';
import type {EndpointPaths} from '../endpoint-paths/endpoint-paths.js';
import {startEndpointPaths} from '../endpoint-paths/start-endpoint-paths.js';
import type {HallMonitor} from '../hall-health/hall-monitor.js';
import {startHallMonitor} from '../hall-health/start-hall-monitor.js';
import {limitByHeap} from '../own-heap/limit-by-heap.js';
import {ownHeap} from '../own-heap/own-heap.js';
import {startHeapMonitor} from '../own-heap/start-heap-monitor.js';
import type {OverloadMonitor} from '../own-health/overload-monitor.js';
import {startOverloadMonitor} from '../own-health/start-overload-monitor.js';

type Options = {
	readonly hall: string;
	/** Whether a hall is evacuated, so that its endpoints get no requests. */
	readonly isEvacuated: (hall: string) => boolean;
	readonly bounds: Bounds;
	readonly timeouts: Timeouts;
	/** The number of requests that are open now. */
	readonly open: () => number;
	/** The number of open requests that are not of the most urgent rank. */
	readonly openLessUrgent: () => number;
	/** Returns the ids of those endpoints that some peer reaches now. */
	readonly reachedByPeers: (endpoints: readonly string[]) => Promise<ReadonlySet<string>>;
	/** Closes the idle connections of this host to an endpoint. */
	readonly closeIdle: (endpoint: string) => void;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** The health of this host, of its links to endpoints and of other halls, as this host sees it. */
type HealthMonitor = {
	readonly overload: OverloadMonitor;
	readonly halls: HallMonitor;
	readonly paths: EndpointPaths;
	/** Replaces the list of the endpoints that the host uses. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Notes the time that a connection to an endpoint took, or after which it was given up, in ms. */
	readonly noteConnect: (endpoint: ListedEndpoint, tookMs: number) => void;
	readonly close: () => void;
};

/** Starts the monitors of this host's own overload, of its links to endpoints and of other halls. An overloaded host judges no hall. */
export const startHealthMonitor = ({hall, isEvacuated, bounds, timeouts, open, openLessUrgent, reachedByPeers, closeIdle, log, now}: Options): HealthMonitor => {
	const overload = limitByHeap(startOverloadMonitor({
		boundMs: bounds.relayMs, open, openLessUrgent, log, now,
	}), startHeapMonitor({open, heap: ownHeap, log}));
	const probe = async (address: string): Promise<boolean> => await probeAddress(address, timeouts.probeMs) === 'reached';
	// On a host that is late, a probe that fails shows nothing that a peer could tell from a cut link.
	const askPeers = async (endpoints: readonly ListedEndpoint[]): Promise<ReadonlySet<string>> =>
		overload.isOverloaded() ? new Set() : reachedByPeers(endpoints.map(({id}) => id));

	const isReachedByPeer = async (endpoint: ListedEndpoint): Promise<boolean> => {
		const reached = await askPeers([endpoint]);
		return reached.has(endpoint.id);
	};

	const paths = startEndpointPaths({
		probe, isReachedByPeer, closeIdle, random: Math.random, log, now,
	});
	const halls = startHallMonitor({
		hall,
		isEvacuated,
		probe,
		async isReachedByPeer(endpoints) {
			const reached = await askPeers(endpoints);
			for (const endpoint of endpoints.filter(({id}) => reached.has(id))) {
				paths.noteLost(endpoint);
			}

			return reached.size > 0;
		},
		isOverloaded: overload.isOverloaded,
		log,
		now,
	});
	return {
		overload,
		halls,
		paths,
		list(endpoints) {
			halls.list(endpoints);
			paths.list(endpoints);
		},
		noteConnect(endpoint, tookMs) {
			// A connection to another hall takes long where that hall is far or cut off, which tells nothing about the load of this host.
			if (endpoint.hall === hall) {
				overload.noteConnect(tookMs);
			}
		},
		close() {
			overload.close();
			halls.close();
			paths.close();
		},
	};
};
