import type {Pair} from './pair.js';

/** The pairs of a hall, as agreed through one object in the store. */
export type PairMap = {
	/** The store's version of the object; the higher one is newer. */
	readonly version: number;
	/** The pair of each slot; the index is the slot. */
	readonly pairs: readonly Pair[];
};
