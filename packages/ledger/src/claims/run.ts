import type {RunOutcome} from './run-outcome.js';

/** One attempt to run a request at one endpoint. */
export type Run = {
	/** 1 for the first attempt of a claim. */
	readonly number: number;
	/** Names the attempt that started it: a message that comes again is not another attempt. */
	readonly attempt: string;
	/** The host incarnation that was told to send the request. */
	readonly runner: string;
	/** The endpoint it was to be sent to. */
	readonly endpoint: string;
	/** Worst-case tokens reserved for this run. */
	readonly reserved: number;
	/** Wall-clock time in ms after which the runner must not send any more. */
	readonly sendBy: number;
	readonly state: 'running' | RunOutcome;
	/** Tokens that the endpoint served; meaningful once the state is `finished` or `failed`. */
	readonly served: number;
	/** Why this endpoint was chosen, for `deckwheel explain`. */
	readonly reason: string;
};
