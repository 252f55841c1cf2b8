import type {Pair} from './pair.js';

/** The pairs of a hall, by slot, as agreed through one object in the store. */
export type PairMap = {
	/** The store's version of the object; the higher one is newer. */
	readonly version: number;
	readonly pairs: readonly Pair[];
};
