/** How far ahead rights are held. */
export type HoldAheadSettings = {
	/** Seconds of demand to hold: how long an outage of the store is to be survived. */
	readonly horizonSeconds: number;
	/** The part of the unallocated rest that all halls together may take at once, 0 to 1. */
	readonly shareOfRest: number;
};
