import {Map as ImmutableMap} from 'immutable';
import type {Ledger} from './ledger.js';

/** A holder's ledger at its start. */
export const emptyLedger = (holder: string, completeSince = 0): Ledger => ({
	holder,
	completeSince,
	accounts: ImmutableMap(),
	claims: ImmutableMap(),
});
