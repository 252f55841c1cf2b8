/** An entry host asks to run a request: one message claims the key and reserves the budget. */
export type ClaimRequest = {
	readonly type: 'claim';
	readonly budget: string;
	readonly key: string;
	readonly fingerprint: string;
	readonly repeatable: boolean;
	/** Names this very attempt, so that the same message sent again is recognised. */
	readonly attempt: string;
	/** The host incarnation that would send the request. */
	readonly runner: string;
	readonly endpoint: string;
	readonly reason: string;
	/** The most tokens that this run can cost. */
	readonly worstCase: number;
	/** Wall-clock ms after which the runner must not send any more. */
	readonly sendBy: number;
	/** Wall-clock ms until which retries must be recognised. */
	readonly keepUntil: number;
	/** Wall-clock ms at which the key was made, where the key tells; a key of unknown age may be any age. */
	readonly keyMadeAt?: number;
};
