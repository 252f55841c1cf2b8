/** What a host's operators' interface says of it, as far as the lab reads it. */
export type HostView = {
	readonly host: string;
	readonly hall: string;
	readonly incarnation: string;
	readonly bundleVersion: number;
	readonly hosts: ReadonlyArray<{readonly host: string; readonly state: string; readonly bundleVersion: number}>;
	readonly slots: ReadonlyArray<{
		readonly slot: number;
		readonly epoch: number;
		readonly generation: number;
		readonly primary?: string;
		readonly backup?: string;
		readonly role: string;
	}>;
};
