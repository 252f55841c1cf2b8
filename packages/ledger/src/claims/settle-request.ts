import type {StoredResponse} from './stored-response.js';
import type {RunOutcome} from './run-outcome.js';

/** Reports how a run ended. Sending the report again changes nothing. */
export type SettleRequest = {
	readonly type: 'settle';
	readonly budget: string;
	readonly key: string;
	/** The run's number; 0 when the runner does not know it, and then `attempt` names the run. */
	readonly run: number;
	/** The id of the attempt that started the run; when present, it names the run instead of `run`. */
	readonly attempt?: string;
	readonly outcome: RunOutcome;
	/** Tokens that the endpoint served; counts only when the outcome is `finished` or `failed`. */
	readonly served: number;
	/** True when the caller's request gets no further run from the runner: then a failed run is billed for what the endpoint served. */
	readonly final: boolean;
	/** The complete response of a finished run. */
	readonly answer?: StoredResponse;
};
