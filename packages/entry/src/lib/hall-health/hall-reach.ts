/** What a host knows of its network path to the endpoints of another hall. Times are in monotonic ms. */
export type HallReach = {
	/** Whether a probe failed and none has succeeded since. */
	readonly isUnreachable: boolean;
	/** When bytes last arrived from an endpoint of the hall, or a probe last succeeded. */
	readonly heardAt: number;
	/** Whether a connection to an endpoint of the hall has failed since then, while the hall was reachable. */
	readonly hasConnectFailed: boolean;
	/** Whether a probe of the hall is under way. */
	readonly isProbing: boolean;
	/** The hall is not probed before this time. */
	readonly nextProbeAt: number;
};
