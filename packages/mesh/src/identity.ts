/** The identity that a host presents to its peers. */
export type Identity = {
	/** The host's name with the id of its incarnation, which changes with every restart. */
	readonly incarnation: string;
	readonly hall: string;
};
