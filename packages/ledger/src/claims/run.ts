import type {RunOutcome} from './run-outcome.js';

/** One execution of a request at one endpoint. */
export type Run = {
	/** The run's position in its claim, starting at 1. */
	readonly number: number;
	/** The id of the attempt that started this run: the same claim message sent again starts no further run. */
	readonly attempt: string;
	/** The host incarnation that was told to send the request. */
	readonly runner: string;
	/** The endpoint that the runner was told to send the request to. */
	readonly endpoint: string;
	/** Worst-case tokens reserved for this run. */
	readonly reserved: number;
	/** Wall-clock time in ms after which the runner must not send the request to the endpoint. */
	readonly sendBy: number;
	readonly state: 'running' | RunOutcome;
	/** Tokens that the endpoint served; meaningful once the state is `finished` or `failed`. */
	readonly served: number;
	/** Why this endpoint was chosen, for `deckwheel explain`. */
	readonly reason: string;
};
