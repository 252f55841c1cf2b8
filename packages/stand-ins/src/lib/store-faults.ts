/** The faults of the stand-in store, set over its control interface. */
export type StoreFaults = {
	/** Connections are cut without an answer. */
	readonly isDown: boolean;
	/** Each call waits this long first, in ms. */
	readonly delayMs: number;
	/** This many of the next writes take effect and lose their answer. */
	readonly loseAnswers: number;
	/** Calls a second; above it, 429. 0 for no limit. */
	readonly callsPerSecond: number;
};
