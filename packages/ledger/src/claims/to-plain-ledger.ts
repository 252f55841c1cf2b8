import type {Ledger} from './ledger.js';
import type {PlainLedger} from './plain-ledger.js';

/** Turns a ledger into plain data for a snapshot message. */
export const toPlainLedger = (ledger: Ledger): PlainLedger => ({
	holder: ledger.holder,
	completeSince: ledger.completeSince,
	accounts: [...ledger.accounts].map(([budget, account]) =>
		[budget, {...account, received: [...account.received], given: [...account.given]}]),
	claims: [...ledger.claims.values()],
});
