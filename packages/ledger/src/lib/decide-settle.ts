import {claimId} from '../claims/claim-id.js';
import type {Decision} from '../claims/decision.js';
import type {Ledger} from '../claims/ledger.js';
import type {SettleRequest} from '../claims/settle-request.js';

/** Records how a run ended. Only a run's first outcome counts, but a `lost` run can still get its real outcome. Only the first bill of a claim counts, and only its first response; the two may come from different runs. */
export const decideSettle = (ledger: Ledger, request: SettleRequest): Decision => {
	const id = claimId(request.budget, request.key);
	const claim = ledger.claims.get(id);
	const run = claim?.runs.find(({number, attempt}) => request.attempt === undefined ? number === request.run : attempt === request.attempt);
	const isOpen = run?.state === 'running' || (run?.state === 'lost' && request.outcome !== 'lost');
	if (!claim || !run || !isOpen) {
		return {ops: [], reply: {type: 'settled', bill: claim?.bill}};
	}

	const served = request.outcome === 'finished' || request.outcome === 'failed' ? request.served : 0;
	const endsClaim = request.outcome === 'finished' || (request.final && request.outcome === 'failed');
	const bill = endsClaim && claim.bill === undefined ? served : undefined;
	const answer = request.outcome === 'finished' ? request.answer : undefined;
	return {
		ops: [{
			type: 'settle', claim: id, run: run.number, outcome: request.outcome, served, bill, answer,
		}],
		reply: {type: 'settled', bill: claim.bill ?? bill},
	};
};
