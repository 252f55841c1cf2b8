import {ranStateOf, type Claim} from '@deckwheel/ledger';
import type {Recalled} from './recalled.js';
import {runRefusals} from './run-refusals.js';

/**
Decides what becomes of a request whose key the caller presented, by the record of that key. Pure.

@param claim The record; `undefined` where there is none.
@param fingerprint Of the content of the request.
*/
export const decideRecalled = (claim: Claim | undefined, fingerprint: string): Recalled => {
	if (!claim) {
		return {type: 'claim', ran: 'not_run'};
	}

	if (claim.fingerprint !== fingerprint) {
		return {type: 'refuse', refusal: runRefusals.keyConflict};
	}

	if (claim.answer) {
		return {type: 'deliver', answer: claim.answer};
	}

	const open = claim.runs.find(({state}) => state === 'running');
	return open ? {type: 'attach', run: open} : {type: 'claim', ran: ranStateOf(claim)};
};
