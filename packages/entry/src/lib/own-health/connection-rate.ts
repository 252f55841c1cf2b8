/** How many new connections a host accepts, in connections a second. */
export type ConnectionRate = {
	/** Over about the last second. */
	readonly recent: number;
	/** Over about the last half minute. */
	readonly usual: number;
};
