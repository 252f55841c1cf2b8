import type {LoadTracker} from '../load-tracker.js';
import type {LoadRow} from '../wire/load-row.js';
import type {OpenLoad} from './open-load.js';

/** A load tracker, with what the exchange between hosts reads from it and adds to it. */
export type SharedLoadTracker = LoadTracker & {
	/** All that is open at this host. */
	readonly ownRows: () => readonly LoadRow[];
	/**
	Replaces the load of other hosts, by the id of the endpoint; endpoints without an entry have none.

	@param asOf When the oldest of the reports was made, in monotonic ms.
	*/
	readonly setOthers: (others: ReadonlyMap<string, OpenLoad>, asOf: number) => void;
	/** Forgets the load of other hosts. */
	readonly forgetOthers: () => void;
	/** Replaces the paces, by the id of the endpoint. */
	readonly setPaces: (paces: ReadonlyMap<string, number>) => void;
};
