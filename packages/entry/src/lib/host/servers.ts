import type {CallerLimits} from '../../config/caller-limits.js';

/** The two HTTP servers of a host: one for callers, and one at which the load balancer asks whether the host is ready. */
export type Servers = {
	/** The addresses at which the servers listen, or try to, as `ip:port`. */
	readonly addresses: {readonly callers: string; readonly ready: string};
	/** Applies the timeouts of the configuration to callers' connections. */
	readonly setLimits: (limits: CallerLimits) => void;
	/** Closes callers' connections without a request. */
	readonly closeIdleConnections: () => void;
	/** Accepts no more connections of callers, and closes those without a request. The load balancer still gets responses. */
	readonly stopListening: () => void;
	/** Whether the host accepts connections of callers. */
	readonly isAccepting: () => boolean;
	/** Accepts connections of callers, or refuses them until the next call. The connections that are open stay. Does nothing once the host stopped listening. */
	readonly setAccepting: (isAccepting: boolean) => void;
	/** Closes both servers and all their connections at once. */
	readonly kill: () => void;
};
