import type {Priority} from './priority.js';
import type {WaitingRequest} from './waiting-request.js';

/** The bounded queue of a host. */
export type WaitingRoom = {
	readonly waiting: readonly WaitingRequest[];
	/** Virtual service that each organisation has had, for fair shares. */
	readonly served: ReadonlyMap<string, number>;
	/** Smooth weighted round robin among priorities. */
	readonly credit: Readonly<Record<Priority, number>>;
	/** Smoothed time from one start to the next while requests wait, in ms. */
	readonly msPerStart: number;
	readonly lastStartAt: number;
};
