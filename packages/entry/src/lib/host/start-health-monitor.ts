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
	/** Whether a hall is evacuated, so that its endpoints get no requests. */
	readonly isEvacuated: (hall: string) => boolean;
	readonly bounds: Bounds;
	readonly timeouts: Timeouts;
	/** The number of requests that are open now. */
	readonly open: () => number;
	/** The number of open requests that are not of the most urgent rank. */
	readonly openLessUrgent: () => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** The health of this host and of other halls, as this host sees it. */
type HealthMonitor = {
	readonly overload: OverloadMonitor;
	readonly halls: HallMonitor;
	/** Notes the time that a connection to an endpoint took, in ms. */
	readonly noteConnect: (endpoint: ListedEndpoint, tookMs: number) => void;
	readonly close: () => void;
};

/** Starts the monitors of this host's own overload and of other halls. An overloaded host judges no hall. */
export const startHealthMonitor = ({hall, isEvacuated, bounds, timeouts, open, openLessUrgent, log, now}: Options): HealthMonitor => {
	const overload = startOverloadMonitor({
		boundMs: bounds.relayMs, open, openLessUrgent, log, now,
	});
	const halls = startHallMonitor({
		hall, isEvacuated, probe: async address => await probeAddress(address, timeouts.probeMs) === 'reached', isOverloaded: overload.isOverloaded, log, now,
	});
	return {
		overload,
		halls,
		noteConnect(endpoint, tookMs) {
			// A connection to another hall takes long where that hall is far or cut off, which tells nothing about the load of this host.
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
