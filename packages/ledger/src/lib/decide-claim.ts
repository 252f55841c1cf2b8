import {accountOf} from '../account/account-of.js';
import {available} from '../account/available.js';
import {claimId} from '../claims/claim-id.js';
import type {ClaimRequest} from '../claims/claim-request.js';
import type {Claim} from '../claims/claim.js';
import type {Decision} from '../claims/decision.js';
import type {Ledger} from '../claims/ledger.js';
import type {Run} from '../claims/run.js';
import {refuse} from './refuse.js';

const newRun = (request: ClaimRequest, number: number): Run => ({
	number,
	attempt: request.attempt,
	runner: request.runner,
	endpoint: request.endpoint,
	reserved: request.worstCase,
	sendBy: request.sendBy,
	state: 'running',
	served: 0,
	reason: request.reason,
});

const missingFor = (ledger: Ledger, request: ClaimRequest): number =>
	request.worstCase - available(accountOf(ledger, request.budget));

const short = (missing: number): Decision => ({ops: [], reply: {type: 'short', missing}});

// A holder that started after both hosts of a pair were lost does not know the claims from before.
const mayHaveForgotten = (ledger: Ledger, request: ClaimRequest): boolean =>
	ledger.completeSince > 0 && (request.keyMadeAt ?? 0) < ledger.completeSince;

const openClaim = (ledger: Ledger, request: ClaimRequest): Decision => {
	if (!request.repeatable && mayHaveForgotten(ledger, request)) {
		return refuse({code: 'outcome_unknown', message: 'This hall lost its record of earlier requests. Whether this key ran is unknown; it was not run again.', ran: 'unknown'});
	}

	const missing = missingFor(ledger, request);
	if (missing > 0) {
		return short(missing);
	}

	const run = newRun(request, 1);
	const {budget, key, fingerprint, repeatable, keepUntil} = request;
	return {
		ops: [{
			type: 'open', budget, key, fingerprint, repeatable, keepUntil, run,
		}], reply: {type: 'run', run},
	};
};

const rerunClaim = (ledger: Ledger, request: ClaimRequest, claim: Claim): Decision => {
	const missing = missingFor(ledger, request);
	if (missing > 0) {
		return short(missing);
	}

	const run = newRun(request, claim.runs.length + 1);
	return {ops: [{type: 'rerun', claim: claimId(request.budget, request.key), run}], reply: {type: 'run', run}};
};

// Reached when a claim has runs, but none that is open or finished.
const retryEndedClaim = (ledger: Ledger, request: ClaimRequest, claim: Claim): Decision => {
	const neverRan = claim.runs.every(({state}) => state === 'not_run');
	if (neverRan || claim.repeatable) {
		return rerunClaim(ledger, request, claim);
	}

	const lost = claim.runs.some(({state}) => state === 'lost');
	return lost
		? refuse({code: 'outcome_unknown', message: 'Contact was lost while this request may have been running. It will not be run again.', ran: 'unknown'})
		: refuse({code: 'endpoint_failed', message: 'This request ran and broke off. It may not be repeated and will not be run again.', ran: 'ran'});
};

const retryClaim = (ledger: Ledger, request: ClaimRequest, claim: Claim): Decision => {
	if (claim.fingerprint !== request.fingerprint) {
		return refuse({code: 'key_conflict', message: 'This key was used for a request with other content. Use a new key.', ran: 'not_run'});
	}

	if (claim.answer && claim.bill !== undefined) {
		return {ops: [], reply: {type: 'answer', answer: claim.answer, bill: claim.bill}};
	}

	const open = claim.runs.find(({state}) => state === 'running');
	if (!open) {
		return retryEndedClaim(ledger, request, claim);
	}

	// The same message again, after its reply was lost: the runner still waits to hear that it may send.
	const type = open.attempt === request.attempt ? 'run' : 'attach';
	return {ops: [], reply: {type, run: open}};
};

/** Decides whether a request may run: claims its key and reserves its worst case in one step. */
export const decideClaim = (ledger: Ledger, request: ClaimRequest): Decision => {
	const claim = ledger.claims.get(claimId(request.budget, request.key));
	return claim ? retryClaim(ledger, request, claim) : openClaim(ledger, request);
};
