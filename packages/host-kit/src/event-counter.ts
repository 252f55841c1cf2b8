/** Counts of what is too frequent for a line of the log each. */
export type EventCounter = {
	readonly increment: (name: string) => void;
	/** Keeps the largest value that a name had. */
	readonly recordMax: (name: string, value: number) => void;
};
