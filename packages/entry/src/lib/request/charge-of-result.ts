import {httpStatus} from '@deckwheel/core';
import type {Prompt} from '../admission/prompt.js';
import type {RequestResult} from './request-result.js';

type EndedRequest = Pick<RequestResult, 'outcome' | 'lostRuns' | 'status' | 'arrivals' | 'outputTokens'>;

/**
Decides what a request is charged to its budget once the request has ended, in tokens. Pure.

A request that reached no endpoint, or that did not run, is charged nothing. What a request used is known only when it has a
whole response of status 200 and no lost run; then it is charged that, and at most its reservation. Every other request is
charged its whole reservation, because what a lost run cost cannot be known.
*/
export const chargeOfResult = (result: EndedRequest, reservedTokens: number, prompt: Prompt | undefined): number => {
	if (result.arrivals === 0 || result.outcome === 'not_run') {
		return 0;
	}

	const isUsageKnown = result.outcome === 'answered' && result.lostRuns === 0 && result.status === httpStatus.ok;
	const usedTokens = prompt ? prompt.inputTokens + result.outputTokens : 0;
	return isUsageKnown ? Math.min(reservedTokens, usedTokens) : reservedTokens;
};
