/** Measures how fast tokens are reserved, by budget. */
export type DemandMeter = {
	readonly note: (budget: string, tokens: number) => void;
	/** Smoothed tokens a second. */
	readonly rate: (budget: string) => number;
};
