import {httpStatus} from '@deckwheel/core';
import type {Prompt} from '../admission/prompt.js';
import type {RequestResult} from './request-result.js';

type EndedRequest = Pick<RequestResult, 'outcome' | 'lostRuns' | 'status' | 'arrivals' | 'outputTokens'>;

/**
Decides what a request costs its budget once it ended, in tokens. Pure.

Only a whole answer of status 200 without a lost run tells what was used. Of everything else, the whole reservation is
charged: what a lost run cost cannot be known. What did not run costs nothing.
*/
export const chargeOfResult = (result: EndedRequest, reserved: number, prompt: Prompt | undefined): number => {
	if (result.arrivals === 0 || result.outcome === 'not_run') {
		return 0;
	}

	const isCounted = result.outcome === 'answered' && result.lostRuns === 0 && result.status === httpStatus.ok;
	const counted = prompt ? prompt.inputTokens + result.outputTokens : 0;
	return isCounted ? Math.min(reserved, counted) : reserved;
};
