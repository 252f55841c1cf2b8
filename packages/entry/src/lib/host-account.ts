/** This host's rights on one budget, in tokens. It may spend `granted`, and nothing else. */
export type HostAccount = {
	/** What the store records as granted to this life of the host. */
	readonly granted: number;
	/** The worst case of open requests. */
	readonly reserved: number;
	/** What ended requests cost. */
	readonly settled: number;
	/** Tokens a second reserved lately. */
	readonly rate: number;
};
