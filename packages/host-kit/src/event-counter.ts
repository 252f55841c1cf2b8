/** Counts events that are too frequent for a log line each. */
export type EventCounter = {
	/** Adds one to the count of a name. */
	readonly increment: (name: string) => void;
	/** Records a value under a name. The log line shows the largest value recorded since the last log line. */
	readonly recordMax: (name: string, value: number) => void;
};
