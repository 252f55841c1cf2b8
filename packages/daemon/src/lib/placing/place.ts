/** An endpoint that a request may be sent to now. Exactly one of its ends must be called. */
export type Place = {
	readonly endpoint: string;
	readonly url: string;
	/** Why it was chosen, as key=value pairs. */
	readonly reason: string;
	readonly succeeded: (outputTokens: number) => void;
	readonly failed: () => void;
	/** Nothing was sent, or it ended for a reason that is not the endpoint's. */
	readonly abandoned: () => void;
};
