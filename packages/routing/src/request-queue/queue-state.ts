import type {Priority} from './priority.js';
import type {QueuedRequest} from './queued-request.js';

/** The bounded queue of a host. */
export type QueueState = {
	readonly waiting: readonly QueuedRequest[];
	/** Virtual service that each organisation has had, for fair shares. */
	readonly servedByOrganisation: ReadonlyMap<string, number>;
	/** Smooth weighted round robin among priorities. */
	readonly credit: Readonly<Record<Priority, number>>;
	/** Smoothed time from one start to the next while requests wait, in ms. */
	readonly msPerStart: number;
	readonly lastStartedAt: number;
};
