/** What one direction of a link has to carry. Backlogs are in ms: how long the link takes at its full rate to carry what admitted requests are expected to bring. */
export type DirectionLoad = {
	/** The backlog that would be left if the link carried requests at the rate that is planned for all of them. */
	readonly backlogMs: number;
	/** The backlog that would be left at the rate that is planned while the most urgent requests are admitted only. At most `backlogMs`. */
	readonly urgentBacklogMs: number;
	/** The rate at which bytes were added, in bytes per ms, averaged over about a second. */
	readonly bytesPerMs: number;
};
