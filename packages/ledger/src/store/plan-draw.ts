import {ownValue} from '@deckwheel/core';
import {coarseRate} from '../lib/coarse-rate.js';
import type {BudgetRights} from './budget-rights.js';
import type {DrawPlan} from './draw-plan.js';
import type {DrawRequest} from './draw-request.js';
import type {RightsObject} from './rights-object.js';
import {unallocated} from './unallocated.js';
import {viewStore} from './view-store.js';

const isDeposed = (rights: RightsObject, holder: string, epoch: number): boolean =>
	Object.values(rights.budgets).some(({holders}) => (ownValue(holders, holder)?.epoch ?? 0) > epoch);

const drawFromBudget = (rights: BudgetRights, holder: string, epoch: number, request: DrawRequest): BudgetRights => {
	const {granted, transferred, rate, settled, billed, reserved, written} = request;
	const ownEntry = {
		epoch, granted, transferred, rate: coarseRate(rate), settled, billed, ...(reserved === undefined ? {} : {reserved}), ...(written ? {written} : {}),
	};
	// The holder's own total grant replaces the one in the store. So if an earlier write of the holder took effect without a
	// confirmation, this write withdraws its grant, and the store's version check rejects late copies of that earlier write.
	const withOwnEntry: BudgetRights = {...rights, holders: {...rights.holders, [holder]: ownEntry}};
	const rest = Math.max(0, unallocated(withOwnEntry));
	const drawn = Math.max(0, Math.min(Math.floor(request.wants(viewStore(withOwnEntry, holder, rate))), rest));
	return {...withOwnEntry, holders: {...withOwnEntry.holders, [holder]: {...ownEntry, granted: granted + drawn}}};
};

/**
Plans one write to the store that reports a holder's totals and draws more rights. A draw never exceeds the unallocated tokens of its budget.

The store accepts the write by a conditional update on the version that `rights` was read at. The holder may use the grants only
once the store has confirmed the write.

@param epoch The epoch of the holder's pair.
*/
export const planDraw = (rights: RightsObject, holder: string, epoch: number, requests: readonly DrawRequest[]): DrawPlan => {
	if (isDeposed(rights, holder, epoch)) {
		return {type: 'deposed'};
	}

	const changedBudgets = requests.flatMap(request => {
		const budgetRights = ownValue(rights.budgets, request.budget);
		return budgetRights ? [[request.budget, drawFromBudget(budgetRights, holder, epoch, request)] as const] : [];
	});
	return {
		type: 'write',
		rights: {...rights, budgets: {...rights.budgets, ...Object.fromEntries(changedBudgets)}},
		grants: changedBudgets.map(([budget, {holders}]) => ({budget, granted: ownValue(holders, holder)!.granted})),
		unknown: requests.map(({budget}) => budget).filter(budget => !Object.hasOwn(rights.budgets, budget)),
		rest: new Map(changedBudgets.map(([budget, changed]) => [budget, unallocated(changed)])),
	};
};
