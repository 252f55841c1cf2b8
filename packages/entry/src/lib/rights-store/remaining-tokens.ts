import {ownValue} from '@deckwheel/core';
import type {BudgetRights} from '@deckwheel/ledger';
import type {HostAccount} from '../rights/host-account.js';
import {viewRights} from './view-rights.js';

/**
Returns what remains of a budget by its record in the store, in tokens: neither spent nor held by incarnations that have ended. Pure.

The record states each host's spending as of the host's last write, which may lie before an outage of the store. This host's own spending
is counted as it is now.

@param holder The name of this incarnation of the host as a holder of rights.
*/
export const remainingTokens = (rights: BudgetRights, holder: string, {settled}: Pick<HostAccount, 'settled'>): number => {
	const unreported = settled - (ownValue(rights.holders, holder)?.settled ?? 0);
	return Math.max(0, viewRights(rights, holder, 0).remaining - unreported);
};
