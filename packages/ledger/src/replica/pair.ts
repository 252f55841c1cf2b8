/**
Which two hosts serve a slot in a hall, as agreed through the store.

The epoch rises with every change, the generation only when both hosts were
lost and with them the ledger.
*/
export type Pair = {
	readonly epoch: number;
	readonly generation: number;
	/** Host incarnation; absent when nobody serves the slot. */
	readonly primary?: string;
	/** Host incarnation; absent when the hall has no second host. */
	readonly backup?: string;
};
