/** Counts events that are too frequent for a log line each. */
export type EventCounter = {
	/** Adds to the count of a name; one by default. */
	readonly increment: (name: string, by?: number) => void;
	/** Records a value under a name. The log line shows the largest value recorded since the last log line. */
	readonly recordMax: (name: string, value: number) => void;
};
