import type {Bounds} from './bounds.js';
import type {HeaderNames} from './header-names.js';
import type {Log} from './log.js';
import type {Patience} from './patience.js';
import type {PeerDirectory} from './peer-directory.js';
import type {RightsStore} from './rights-store.js';
import type {Schedule} from './schedule.js';

/** What an entry host needs to start. */
export type EntryOptions = {
	readonly host: string;
	readonly hall: string;
	/** Addresses as `ip:port`. With port 0, the system picks a free one. */
	readonly listen: {readonly callers: string; readonly ready: string; readonly peers: string};
	readonly bounds: Bounds;
	readonly headers: HeaderNames;
	readonly rightsStore: RightsStore;
	readonly peers: PeerDirectory;
	readonly log: Log;
	/** By default `defaultPatience`. */
	readonly patience?: Patience;
	/** Ends requests at their deadlines; by default with the process's own timers. */
	readonly schedule?: Schedule;
};
