/** Who a host is towards its peers. */
export type Identity = {
	/** The name of the host with its incarnation: it differs after every restart. */
	readonly incarnation: string;
	readonly hall: string;
};
