/** Counts of what is too frequent for a line of the log each. */
export type Tally = {
	readonly count: (name: string) => void;
	/** Keeps the largest value that a name had. */
	readonly keepMost: (name: string, value: number) => void;
};
