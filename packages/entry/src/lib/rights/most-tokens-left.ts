import {ownValue} from '@deckwheel/core';
import {openReservations, viewStore, type BudgetRights} from '@deckwheel/ledger';
import {maxKeptSeconds} from '../lending/max-kept-seconds.js';
import {viewRights} from '../rights-store/view-rights.js';
import type {HostAccount} from './host-account.js';
import {putOwnEntry} from './put-own-entry.js';

type Inputs = {
	/** The store's record of the budget. */
	readonly rights: BudgetRights;
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	/** This host's own account of the budget, which may be newer than its entry in the record. */
	readonly account: HostAccount;
	/** Whether this host draws the budget's rights for hosts that do not write to the store (its clients). */
	readonly hasClients: boolean;
};

/**
Estimates the most that can be left of a budget for further requests, in tokens: neither spent nor reserved for the worst case of open requests,
by the store's record and this host's own account. Tokens that hosts hold and may still lend count as left. Pure.

What was lent to hosts that write no entry may have been spent or not. Those hosts keep no more than `maxKeptSeconds` of their demand and hand back
the rest, and their demand is part of the rates in the record. So about that much of it can be left, apart from remainders that are not worth
handing back. Worst cases of requests that are open at clients count as spent, since no record tells them apart from what was spent.
*/
export const mostTokensLeft = ({rights: recorded, holder, account, hasClients}: Inputs): number => {
	const rights = putOwnEntry(recorded, holder, account);
	const {remaining, fleetTokensPerSecond} = viewStore(rights, holder, ownValue(rights.holders, holder)?.rate ?? 0);
	const withoutLoans = viewRights(rights, holder, 0).remaining + (fleetTokensPerSecond * maxKeptSeconds);
	return Math.max(0, (hasClients ? Math.min(remaining, withoutLoans) : remaining) - openReservations(rights));
};
