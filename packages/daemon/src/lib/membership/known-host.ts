import type {HostStatus} from './host-status.js';

/** What this host knows of another one. */
export type KnownHost = {
	readonly host: string;
	readonly hall: string;
	readonly address: string;
	/** What it last said of itself; absent until it was heard of. */
	readonly status?: HostStatus;
	/** Monotonic ms at which it was last heard of. */
	readonly heardAt: number;
	/** The platform's list says that it is leaving. */
	readonly isListedLeaving: boolean;
};
