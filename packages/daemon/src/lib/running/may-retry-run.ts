import type {RunEnd} from './run-end.js';

type Inputs = {
	readonly outcome: RunEnd['outcome'];
	readonly isRepeatable: boolean;
	/** Whether the caller got a part of an answer already: no other run's answer may follow. */
	readonly hasOutput: boolean;
	/** Monotonic ms. */
	readonly deadline: number;
	readonly now: number;
};

/**
Decides whether a run that did not finish may be made again; the retry budget (`stepRetryBudget`) is asked after it. Pure.

The entry host on a platform decides by `decideNextStep` (`packages/entry`): there, requests have no keys, and a stream can
be taken up at another endpoint.
*/
export const mayRetryRun = ({outcome, isRepeatable, hasOutput, deadline, now}: Inputs): boolean =>
	(outcome === 'not_run' || isRepeatable) && !hasOutput && now < deadline;
