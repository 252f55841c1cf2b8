/** A stand-in that listens. */
export type RunningStandIn = {
	readonly url: string;
	readonly close: () => Promise<void>;
};
