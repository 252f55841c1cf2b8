/** When the run was under way that an endpoint broke off as it ended, in monotonic ms of the host that remembers it. */
export type EndedRun = {
	readonly sentAt: number;
	readonly endedAt: number;
};
