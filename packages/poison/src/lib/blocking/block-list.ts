/** The subjects that may not be sent to endpoints, as this host judges what it knows. */
export type BlockList = {
	/** When any of these subjects may be sent to an endpoint again by this host, in monotonic ms; `undefined` when all may be sent now. */
	readonly blockedUntil: (subjects: readonly string[]) => number | undefined;
	/** Notes that this host sends a request with these subjects to an endpoint. After a block it is a test, and the next one waits. */
	readonly noteSent: (subjects: readonly string[]) => void;
	/** The subjects whose block has not ended. */
	readonly blocked: () => readonly string[];
	/** Judges anew after suspicions have changed, and logs which subjects are blocked now and which no longer are. */
	readonly review: () => void;
};
