import {claimId} from '../claims/claim-id.js';
import type {Claim} from '../claims/claim.js';
import type {Decision} from '../claims/decision.js';
import type {LedgerOp} from '../claims/ledger-op.js';
import type {Ledger} from '../claims/ledger.js';

const strandOpenRuns = (claim: Claim): readonly LedgerOp[] =>
	claim.runs
		.filter(({state}) => state === 'running' || state === 'lost')
		.map(({number}) => ({type: 'strand', claim: claimId(claim.budget, claim.key), run: number}));

/** Ends the claims that no retry can ask for any more. Time never frees a reservation: it is charged. */
export const decideExpire = (ledger: Ledger, now: number): Decision => {
	const over = [...ledger.claims.values()].filter(({keepUntil}) => keepUntil < now);
	if (over.length === 0) {
		return {ops: [], reply: {type: 'done'}};
	}

	const claims = over.map(({budget, key}) => claimId(budget, key));
	return {ops: [...over.flatMap(claim => strandOpenRuns(claim)), {type: 'forget', claims}], reply: {type: 'done'}};
};
