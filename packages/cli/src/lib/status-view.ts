/** What a host's operators' interface says of it and the hosts it knows. */
export type StatusView = {
	readonly host: string;
	readonly hall: string;
	readonly state: string;
	readonly bundleVersion: number;
	readonly openRequests: number;
	readonly hosts: ReadonlyArray<{
		readonly host: string;
		readonly hall: string;
		readonly state: string;
		readonly bundleVersion: number;
		readonly heardMsAgo: number;
	}>;
};
