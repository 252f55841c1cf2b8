/** Asks the slot's primary for permission to run a request: one message claims the key and reserves the worst-case cost. */
export type ClaimRequest = {
	readonly type: 'claim';
	readonly budget: string;
	readonly key: string;
	/** A hash of the request's content, to recognise a key that is reused for other content. */
	readonly fingerprint: string;
	/** Whether the request may run again after an earlier run failed or was lost. */
	readonly repeatable: boolean;
	/** The id of this attempt, by which the primary recognises the same message sent again. */
	readonly attempt: string;
	/** The host incarnation that would send the request. */
	readonly runner: string;
	readonly endpoint: string;
	/** Why this endpoint was chosen, for `deckwheel explain`. */
	readonly reason: string;
	/** The worst-case cost of the run in tokens, which the primary reserves. */
	readonly worstCase: number;
	/** Wall-clock time in ms after which the runner must not send the request to the endpoint. */
	readonly sendBy: number;
	/** Wall-clock time in ms until which the claim is kept, so that retries are recognised. */
	readonly keepUntil: number;
	/** Wall-clock time in ms at which the key was made; absent when the key does not carry it, and then the key may be of any age. */
	readonly keyMadeAt?: number;
};
