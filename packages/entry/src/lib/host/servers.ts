import type {CallerLimits} from '../../config/caller-limits.js';

/** The two servers of a host: for callers, and for the balancer that asks whether it is ready. */
export type Servers = {
	readonly addresses: {readonly callers: string; readonly ready: string};
	readonly limit: (limits: CallerLimits) => void;
	readonly closeIdleConnections: () => void;
	/** Takes no more connections of callers, and closes those without a request; the balancer is still answered. */
	readonly stopListening: () => void;
	/** Ends at once, with all connections. */
	readonly kill: () => void;
};
