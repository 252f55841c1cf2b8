import {Map as ImmutableMap} from 'immutable';
import type {Ledger} from './ledger.js';

/**
A ledger without accounts and claims, for a new holder.

@param completeSince Wall-clock time in ms since which the ledger knows all claims; 0 when no earlier ledger was lost.
*/
export const emptyLedger = (holder: string, completeSince = 0): Ledger => ({
	holder,
	completeSince,
	accounts: ImmutableMap(),
	claims: ImmutableMap(),
});
