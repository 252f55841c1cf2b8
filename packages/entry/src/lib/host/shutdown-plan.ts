/** When a host that was told to stop does what. All times are monotonic ms. */
export type ShutdownPlan = {
	/** Until then, every request is sent on. */
	readonly takeAllUntil: number;
	/** Until then, new connections are accepted. */
	readonly listenUntil: number;
	/** A request that is sent on later has to end by then. */
	readonly answerBy: number;
	/** Until then, open requests are waited for before the last rights go back. */
	readonly endBy: number;
	/** What is still open then gets its final answer, also if rights have not gone back yet. */
	readonly cutBy: number;
	/** Until then, these answers are waited for. */
	readonly closeBy: number;
	/** Whether nothing is sent on any more: the last rights go back, and the process may end at any moment. */
	readonly isOver: boolean;
};
