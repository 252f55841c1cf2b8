/** A relay that listens. */
export type RunningRelay = {
	readonly port: number;
	readonly setMode: (mode: 'pass' | 'refuse' | 'stall') => void;
	readonly close: () => Promise<void>;
};
