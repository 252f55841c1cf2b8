/** Asks peers for rights. */
export type Lenders = {
	/**
	Asks peers in turn until `isEnough`, those first who are believed to hold most.

	@param addresses Peers in the order in which they are asked.
	*/
	readonly borrow: (budget: string, tokens: number, addresses: readonly string[], isEnough: () => boolean) => Promise<void>;
	/** Tells a peer what this host ever gave it in total. */
	readonly handBack: (address: string, budget: string, total: number) => void;
};
