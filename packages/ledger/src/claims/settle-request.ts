import type {StoredResponse} from './stored-response.js';
import type {RunOutcome} from './run-outcome.js';

/** The runner tells how a run ended. Safe to send again. */
export type SettleRequest = {
	readonly type: 'settle';
	readonly budget: string;
	readonly key: string;
	/** The run's number; 0 when the runner never learnt it, and `attempt` names the run. */
	readonly run: number;
	readonly attempt?: string;
	readonly outcome: RunOutcome;
	/** Tokens that the endpoint served. */
	readonly served: number;
	/** True when the caller gets no further run: what was served is billed now. */
	readonly final: boolean;
	readonly answer?: StoredResponse;
};
