import {probeAddress} from '@deckwheel/host-kit';
import type {Bounds} from '../../adapter/bounds.js';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Log} from '../../adapter/log.js';
import type {Timeouts} from '../../timeouts.js';
import type {HallMonitor} from '../hall-health/hall-monitor.js';
import {startHallMonitor} from '../hall-health/start-hall-monitor.js';
import type {OverloadMonitor} from '../own-health/overload-monitor.js';
import {startOverloadMonitor} from '../own-health/start-overload-monitor.js';

type Options = {
	readonly hall: string;
	/** Whether a hall's endpoints are to get nothing. */
	readonly isEvacuated: (hall: string) => boolean;
	readonly bounds: Bounds;
	readonly timeouts: Timeouts;
	/** Requests open now. */
	readonly open: () => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** What a host finds out about itself and about other halls. */
type HealthMonitor = {
	readonly overload: OverloadMonitor;
	readonly halls: HallMonitor;
	/** Notes how long an endpoint took to accept a connection, in ms. */
	readonly noteConnect: (endpoint: ListedEndpoint, tookMs: number) => void;
	readonly close: () => void;
};

/** Starts the watches of this host's own overload and of other halls. A host that is late judges no hall. */
export const startHealthMonitor = ({hall, isEvacuated, bounds, timeouts, open, log, now}: Options): HealthMonitor => {
	const overload = startOverloadMonitor({
		boundMs: bounds.relayMs, open, log, now,
	});
	const halls = startHallMonitor({
		hall, isEvacuated, probe: async address => await probeAddress(address, timeouts.probeMs) === 'reached', isOverloaded: overload.isOverloaded, log, now,
	});
	return {
		overload,
		halls,
		noteConnect(endpoint, tookMs) {
			// A connection to another hall takes longer when that hall is far or cut off, which says nothing of this host.
			if (endpoint.hall === hall) {
				overload.noteConnect(tookMs);
			}
		},
		close() {
			overload.close();
			halls.close();
		},
	};
};
