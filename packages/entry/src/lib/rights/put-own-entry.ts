import {ownValue} from '@deckwheel/core';
import {transferred, type BudgetRights} from '@deckwheel/ledger';
import type {HostAccount} from './host-account.js';

/**
Puts a host's own account in place of its entry in the store's record, which is as old as the host's last write. Pure.

@param holder The name of this incarnation of the host as a holder of rights.
*/
export const putOwnEntry = (rights: BudgetRights, holder: string, account: HostAccount): BudgetRights => {
	const {granted, settled, reserved} = account;
	const recorded = ownValue(rights.holders, holder) ?? {epoch: 0, rate: 0};
	const entry = {
		...recorded, granted, transferred: transferred(account), settled, billed: settled, reserved,
	};
	return {...rights, holders: {...rights.holders, [holder]: entry}};
};
