/**
The two hosts that serve a slot in a hall, as agreed through the store.

The epoch rises with every change of the pair. The generation rises only when both
hosts were lost, and the ledger with them.
*/
export type Pair = {
	readonly epoch: number;
	readonly generation: number;
	/** Host incarnation; absent when no host serves the slot. */
	readonly primary?: string;
	/** Host incarnation; absent when the hall has no second host. */
	readonly backup?: string;
};
