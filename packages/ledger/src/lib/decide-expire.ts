import {claimId} from '../claims/claim-id.js';
import type {Claim} from '../claims/claim.js';
import type {Decision} from '../claims/decision.js';
import type {LedgerOp} from '../claims/ledger-op.js';
import type {Ledger} from '../claims/ledger.js';

const strandOpenRuns = (claim: Claim): readonly LedgerOp[] =>
	claim.runs
		.filter(({state}) => state === 'running' || state === 'lost')
		.map(({number}) => ({type: 'strand', claim: claimId(claim.budget, claim.key), run: number}));

/**
Drops the claims whose `keepUntil` has passed. Time frees no reservation: runs without a known outcome are charged in full first.

@param now Wall-clock time in ms.
*/
export const decideExpire = (ledger: Ledger, now: number): Decision => {
	const expired = [...ledger.claims.values()].filter(({keepUntil}) => keepUntil < now);
	if (expired.length === 0) {
		return {ops: [], reply: {type: 'done'}};
	}

	const claims = expired.map(({budget, key}) => claimId(budget, key));
	return {ops: [...expired.flatMap(claim => strandOpenRuns(claim)), {type: 'forget', claims}], reply: {type: 'done'}};
};
