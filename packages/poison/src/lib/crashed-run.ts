/** When a run that ended with a crash of its endpoint was under way, in monotonic ms of the host that holds this record. */
export type CrashedRun = {
	readonly sentAt: number;
	readonly endedAt: number;
};
