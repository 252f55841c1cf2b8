import {ranStateOf, type Claim} from '@deckwheel/ledger';
import type {Job} from './job.js';
import type {Recalled} from './recalled.js';
import {runRefusals} from './run-refusals.js';

/**
Decides what becomes of a request whose key the caller presented, by the record of that key. Pure.

@param claim The record; `undefined` where there is none.
@param job The fingerprint of the content of the request, and whether its caller has got events of an earlier run.
*/
export const decideRecalled = (claim: Claim | undefined, {fingerprint, hasEvents}: Pick<Job, 'fingerprint' | 'hasEvents'>): Recalled => {
	if (!claim) {
		return {type: 'claim', ran: 'not_run'};
	}

	if (claim.fingerprint !== fingerprint) {
		return {type: 'refuse', refusal: runRefusals.keyConflict};
	}

	// Its events may be those of a run that has ended, and what another run writes does not go on with them.
	if (hasEvents && claim.runs.some(({state}) => state === 'failed' || state === 'lost')) {
		return {type: 'refuse', refusal: runRefusals.streamEnded(ranStateOf(claim))};
	}

	if (claim.answer) {
		return {type: 'deliver', answer: claim.answer};
	}

	const open = claim.runs.find(({state}) => state === 'running');
	return open ? {type: 'attach', run: open} : {type: 'claim', ran: ranStateOf(claim)};
};
