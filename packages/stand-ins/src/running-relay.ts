/** A relay that listens. */
export type RunningRelay = {
	readonly port: number;
	/** Sets the port that connections are passed on to. */
	readonly aimAt: (port: number) => void;
	readonly setMode: (mode: 'pass' | 'refuse' | 'stall') => void;
	/** Lets the connections that are open carry nothing any more, without a sign; new ones pass. */
	readonly silence: () => void;
	readonly close: () => Promise<void>;
};
