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

const missingTokens = (ledger: Ledger, request: ClaimRequest): number =>
	request.worstCase - available(accountOf(ledger, request.budget));

const replyShort = (missing: number): Decision => ({ops: [], reply: {type: 'short', missing}});

// A holder whose predecessor lost its ledger with both hosts of the pair does not know earlier claims. A key of
// unknown age may belong to such a claim.
const mayMissEarlierClaim = (ledger: Ledger, request: ClaimRequest): boolean =>
	ledger.completeSince > 0 && (request.keyMadeAt ?? 0) < ledger.completeSince;

const openClaim = (ledger: Ledger, request: ClaimRequest): Decision => {
	if (!request.repeatable && mayMissEarlierClaim(ledger, request)) {
		return refuse({code: 'outcome_unknown', message: 'This hall lost its record of earlier requests. Whether this key ran is unknown; it was not run again.', ran: 'unknown'});
	}

	const missing = missingTokens(ledger, request);
	if (missing > 0) {
		return replyShort(missing);
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
	const missing = missingTokens(ledger, request);
	if (missing > 0) {
		return replyShort(missing);
	}

	const run = newRun(request, claim.runs.length + 1);
	return {ops: [{type: 'rerun', claim: claimId(request.budget, request.key), run}], reply: {type: 'run', run}};
};

// Handles a claim that has neither an open run nor a recorded response.
const retryEndedClaim = (ledger: Ledger, request: ClaimRequest, claim: Claim): Decision => {
	const hasNeverRun = claim.runs.every(({state}) => state === 'not_run');
	if (hasNeverRun || claim.repeatable) {
		return rerunClaim(ledger, request, claim);
	}

	const hasLostRun = claim.runs.some(({state}) => state === 'lost');
	return hasLostRun
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

	const openRun = claim.runs.find(({state}) => state === 'running');
	if (!openRun) {
		return retryEndedClaim(ledger, request, claim);
	}

	// A request of the same attempt is the same message sent again after its reply was lost: its runner still waits for permission to send.
	const type = openRun.attempt === request.attempt ? 'run' : 'attach';
	return {ops: [], reply: {type, run: openRun}};
};

/** Decides whether a request may run. If it may, one op claims its key and reserves the run's worst-case cost. */
export const decideClaim = (ledger: Ledger, request: ClaimRequest): Decision => {
	const claim = ledger.claims.get(claimId(request.budget, request.key));
	return claim ? retryClaim(ledger, request, claim) : openClaim(ledger, request);
};
