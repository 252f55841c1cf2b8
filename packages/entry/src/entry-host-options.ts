import type {Bounds} from './adapter/bounds.js';
import type {HeaderNames} from './adapter/header-names.js';
import type {Log} from './adapter/log.js';
import type {Timeouts} from './timeouts.js';
import type {PlacingSettings} from './adapter/placing-settings.js';
import type {PeerDirectory} from './adapter/peer-directory.js';
import type {OriginStore} from './adapter/origin-store.js';
import type {RightsStore} from './adapter/rights-store.js';
import type {Schedule} from './adapter/schedule.js';

/** The options of an entry host. */
export type EntryHostOptions = {
	/** The name of the host. */
	readonly host: string;
	/** The name of the data hall in which the host runs. */
	readonly hall: string;
	/**
	The addresses at which the host listens for callers, for readiness checks of the balancer, and for peers, as `ip:port`. With port
	0, the system picks a free port.
	*/
	readonly listen: {readonly callers: string; readonly ready: string; readonly peers: string};
	readonly bounds: Bounds;
	/** Whether operators may order the evacuation of halls. The host is then not ready until `evacuateHalls` was called. By default `false`. */
	readonly hasEvacuations?: boolean;
	readonly headers: HeaderNames;
	readonly rightsStore: RightsStore;
	readonly originStore: OriginStore;
	/** The directory in which this host finds its peers. */
	readonly peers: PeerDirectory;
	readonly log: Log;
	/** By default `defaultPlacing`. */
	readonly placing?: PlacingSettings;
	/** By default `defaultTimeouts`. */
	readonly timeouts?: Timeouts;
	/** Schedules the ends of requests at their deadlines and the steps of a planned shutdown. By default by the timers of the process. */
	readonly schedule?: Schedule;
	/** Returns monotonic ms. By default the clock of the process. */
	readonly now?: () => number;
	/**
	Returns elapsed ms, which include the time for which the machine was suspended. The age of kept connections and of what the store
	or peers told this host is counted by it. By default `now`.
	*/
	readonly elapsed?: () => number;
};
