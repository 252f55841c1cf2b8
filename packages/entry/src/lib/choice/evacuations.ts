/** The operators' orders to evacuate halls, as this host knows them. */
export type Evacuations = {
	/** The evacuated halls, whose endpoints get no requests. */
	readonly halls: ReadonlySet<string>;
	/** When the last order to evacuate a hall ended, by hall, in monotonic ms. */
	readonly reopenedAt: ReadonlyMap<string, number>;
};
