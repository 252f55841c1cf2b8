/** The orders of the operators to evacuate halls, as this host knows them. */
export type Evacuations = {
	/** Halls whose endpoints are to get nothing. */
	readonly halls: ReadonlySet<string>;
	/** When the order for a hall ended last, by hall, in monotonic ms. */
	readonly reopenedAt: ReadonlyMap<string, number>;
};
