/** What a host says of itself in a heartbeat. */
export type HostStatus = {
	readonly host: string;
	/** Differs after every restart. */
	readonly incarnation: string;
	readonly hall: string;
	/** Where its peers reach it. */
	readonly address: string;
	readonly state: 'live' | 'leaving';
	/** Version of the hall's pairs that it knows. */
	readonly pairsVersion: number;
	/** Version of the bundle that is in force there; 0 for none. */
	readonly bundleVersion: number;
};
