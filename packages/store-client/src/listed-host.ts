/** An entry of the platform's host list. The list lags behind the actual state of the hosts. */
export type ListedHost = {
	/** The id of the host. */
	readonly host: string;
	/** The id of the data hall that the host is in. */
	readonly hall: string;
	/** The `ip:port` at which other hosts reach the host. */
	readonly address: string;
	readonly state: 'live' | 'leaving';
};
