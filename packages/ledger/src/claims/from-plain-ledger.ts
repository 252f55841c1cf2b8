import {Map as ImmutableMap} from 'immutable';
import {claimId} from './claim-id.js';
import type {Ledger} from './ledger.js';
import type {PlainLedger} from './plain-ledger.js';

/** Turns the plain data of a snapshot message back into a ledger. */
export const fromPlainLedger = (plain: PlainLedger): Ledger => ({
	holder: plain.holder,
	completeSince: plain.completeSince,
	accounts: ImmutableMap(plain.accounts.map(([budget, account]) =>
		[budget, {...account, received: ImmutableMap(account.received), given: ImmutableMap(account.given)}])),
	claims: ImmutableMap(plain.claims.map(claim => [claimId(claim.budget, claim.key), claim])),
});
