import type {Bounds} from './adapter/bounds.js';
import type {HeaderNames} from './adapter/header-names.js';
import type {Log} from './adapter/log.js';
import type {Timeouts} from './timeouts.js';
import type {PeerDirectory} from './adapter/peer-directory.js';
import type {RightsStore} from './adapter/rights-store.js';
import type {Schedule} from './adapter/schedule.js';

/** What an entry host needs to start. */
export type EntryHostOptions = {
	readonly host: string;
	readonly hall: string;
	/** Addresses as `ip:port`. With port 0, the system picks a free one. */
	readonly listen: {readonly callers: string; readonly ready: string; readonly peers: string};
	readonly bounds: Bounds;
	/** Whether operators may order halls to be evacuated: then a host is not ready before it knows their orders. By default not. */
	readonly hasEvacuations?: boolean;
	readonly headers: HeaderNames;
	readonly rightsStore: RightsStore;
	readonly peers: PeerDirectory;
	readonly log: Log;
	/** By default `defaultTimeouts`. */
	readonly timeouts?: Timeouts;
	/** Ends requests at their deadlines, and moves a stop on; by default with the process's own timers. */
	readonly schedule?: Schedule;
	/** Monotonic ms; by default the process's own clock. */
	readonly now?: () => number;
	/** Elapsed ms, suspensions of the machine included: what others said, and kept connections, grow old by it. By default as `now`. */
	readonly elapsed?: () => number;
};
