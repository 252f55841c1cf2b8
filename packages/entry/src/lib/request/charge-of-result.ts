import {httpStatus} from '@deckwheel/core';
import type {Prompt} from '../admission/prompt.js';
import type {RequestResult} from './request-result.js';

/** What became of a reservation, in tokens. */
type Charge = {
	/** What the request is taken to have used, as the log tells it. */
	readonly used: number;
	/** What the budget is charged. */
	readonly charged: number;
};

/**
Decides what a request costs its budget once it ended. Pure.

Only a whole answer of status 200 without a lost run tells what was used. Of everything else, the whole reservation is
charged: what a lost run cost cannot be known. What did not run costs nothing.
*/
export const chargeOfResult = (result: Pick<RequestResult, 'outcome' | 'lostRuns' | 'status' | 'arrivals' | 'outputTokens'>, reserved: number, prompt: Prompt | undefined): Charge => {
	const isCounted = result.outcome === 'answered' && result.lostRuns === 0 && result.status === httpStatus.ok;
	const counted = prompt ? prompt.inputTokens + result.outputTokens : 0;
	const used = isCounted ? Math.min(reserved, counted) : reserved;
	const hasRun = result.arrivals > 0 && result.outcome !== 'not_run';
	return {used, charged: hasRun ? used : 0};
};
