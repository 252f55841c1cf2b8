import type {RunState} from '@deckwheel/core';
import type {Claim} from './claim.js';

/** Whether a request ran at an endpoint, as its claim records it. A request without a claim counts as `not_run`. */
export const ranStateOf = (claim: Claim | undefined): RunState => {
	const states = new Set((claim?.runs ?? []).map(({state}) => state));
	if (states.has('finished') || states.has('failed')) {
		return 'ran';
	}

	return states.has('lost') || states.has('running') ? 'unknown' : 'not_run';
};
