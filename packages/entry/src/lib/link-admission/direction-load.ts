/** What one direction of a link has to carry. */
export type DirectionLoad = {
	/** How long the link takes, in ms, to carry what admitted requests are expected to bring, at the rate that is planned for requests. */
	readonly backlogMs: number;
	/** The rate at which bytes were added, in bytes per ms, averaged over about a second. */
	readonly bytesPerMs: number;
};
