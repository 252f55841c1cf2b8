/** Bounds that operators set on what an entry host does, to keep what they promise their callers and their platform. */
export type Bounds = {
	/** Retries that this host may send to a service for each of its requests within the window. */
	readonly retryRatio: number;
	/** The length of the window, in ms. */
	readonly retryWindowMs: number;
	/** The requests that all hosts together may send to an endpoint within a second while it warms up; `undefined` where no bound is set. */
	readonly warmup?: {
		/** The factor by which the requests may exceed `warmupPerSecond` of the endpoint's service. */
		readonly overage: number;
		/** The requests allowed beyond that product. */
		readonly slack: number;
	};
	/**
	How long callers wait for a host to read their request before they send it to another host: the shorter of two times. `undefined`
	where that is not known.
	*/
	readonly unreadTimeout?: {
		/** A fixed time, in ms. */
		readonly ms: number;
		/** A share of the time that the caller waits for the response, 0 to 1. */
		readonly share: number;
	};
	/** How long callers of streams wait for an event, the first one as well, before they leave: the longest of three times. `undefined` where that is not known. */
	readonly eventTimeout?: {
		/** A fixed time, in ms. */
		readonly ms: number;
		/** A multiple of `goalMs` of the route. */
		readonly goals: number;
		/** A multiple of `maxPauseMs` of the route. */
		readonly pauses: number;
	};
	/** Within what time a change of the configuration must take effect, in ms; `undefined` where no bound is set. */
	readonly configApplyMs?: number;
	/**
	Within what time a host confirms its list of endpoints again while the platform's store answers, in ms. What peers say of software versions
	counts while their lists are no older. By default 5 s.
	*/
	readonly endpointsConfirmMs?: number;
	/** The writes a second that the platform's store accepts of all hosts together. */
	readonly storeWritesPerSecond: number;
	/** The longest delay with which a host may relay an event of a stream, in ms. */
	readonly relayMs: number;
	/** The memory of the host's machine, in MB; 0, or `undefined`, where it is not stated. What the host may hold of responses and bodies depends on it. */
	readonly memoryMb?: number;
	/** The time from the signal to stop a host until its process is killed, in ms. */
	readonly stopGraceMs: number;
};
