/** A host as the platform's list shows it. The list lags. */
export type ListedHost = {
	readonly host: string;
	readonly hall: string;
	/** Where its peers reach it: `ip:port`. */
	readonly address: string;
	readonly state: 'live' | 'leaving';
};
