import type {BudgetRights} from '@deckwheel/ledger';
import type {HostAccount} from '../rights/host-account.js';
import {viewRights} from './view-rights.js';

/**
What remains of a budget by its record in the store, in tokens: neither spent, nor held by lives that have ended. Pure.

The record has a host's spending as of its last write, which may be as old as an outage; this host's own is counted as it is now.

@param holder The name of this life of the host.
*/
export const remainingTokens = (rights: BudgetRights, holder: string, {settled}: Pick<HostAccount, 'settled'>): number => {
	const unreported = settled - (rights.holders[holder]?.settled ?? 0);
	return Math.max(0, viewRights(rights, holder, 0).remaining - unreported);
};
