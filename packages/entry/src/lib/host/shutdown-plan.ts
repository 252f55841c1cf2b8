/** The phases of a host's shutdown. All times are in monotonic ms. */
export type ShutdownPlan = {
	/** Until then, every request is forwarded. */
	readonly forwardAllUntil: number;
	/** Until then, new connections are accepted. */
	readonly listenUntil: number;
	/** A request that is forwarded after `forwardAllUntil` must have its deadline by then. */
	readonly respondBy: number;
	/** From then on, open requests are ended with final responses where they are more than the host could end later. */
	readonly endExcessFrom: number;
	/** The same for requests of streams. */
	readonly endStreamsFrom: number;
	/** Until then, the host waits for open requests before it returns its last rights. */
	readonly waitForRequestsUntil: number;
	/** Requests that are still open then are ended with final responses, even if the rights are not returned yet. */
	readonly cutRequestsAt: number;
	/** Until then, the host waits for these final responses. */
	readonly waitForFinalResponsesUntil: number;
	/** Whether no request is forwarded any more: the host returns its last rights, and the process may exit at any moment. */
	readonly isForwardingOver: boolean;
};
