import {coarseRate} from '../lib/coarse-rate.js';
import type {BudgetRights} from './budget-rights.js';
import type {DrawPlan} from './draw-plan.js';
import type {DrawRequest} from './draw-request.js';
import type {RightsObject} from './rights-object.js';
import {unallocated} from './unallocated.js';
import {viewStore} from './view-store.js';

const isDeposed = (rights: RightsObject, holder: string, epoch: number): boolean =>
	Object.values(rights.budgets).some(({holders}) => (holders[holder]?.epoch ?? 0) > epoch);

const drawOne = (rights: BudgetRights, holder: string, epoch: number, request: DrawRequest): BudgetRights => {
	const {granted, transferred, rate, settled, billed, reserved, written} = request;
	const known = {
		epoch, granted, transferred, rate: coarseRate(rate), settled, billed, ...(reserved === undefined ? {} : {reserved}), ...(written ? {written} : {}),
	};
	// The holder's own total replaces the store's: if an earlier write of its own took effect
	// unseen, this one withdraws it, and the store's version check keeps late copies out.
	const before: BudgetRights = {...rights, holders: {...rights.holders, [holder]: known}};
	const rest = Math.max(0, unallocated(before));
	const drawn = Math.max(0, Math.min(Math.floor(request.wants(viewStore(before, holder, rate))), rest));
	return {...before, holders: {...before.holders, [holder]: {...known, granted: granted + drawn}}};
};

/**
Works out one write to the store that carries a holder's draws, give-backs and settlements.

The store's conditional update decides whether it holds; only a confirmed write may be used.
*/
export const planDraw = (rights: RightsObject, holder: string, epoch: number, requests: readonly DrawRequest[]): DrawPlan => {
	if (isDeposed(rights, holder, epoch)) {
		return {type: 'deposed'};
	}

	const known = requests.filter(({budget}) => rights.budgets[budget] !== undefined);
	const unknown = requests.map(({budget}) => budget).filter(budget => rights.budgets[budget] === undefined);
	const changed = Object.fromEntries(known.map(request => [request.budget, drawOne(rights.budgets[request.budget]!, holder, epoch, request)]));
	return {
		type: 'write',
		rights: {...rights, budgets: {...rights.budgets, ...changed}},
		grants: known.map(({budget}) => ({budget, granted: changed[budget]!.holders[holder]!.granted})),
		unknown,
		rest: new Map(known.map(({budget}) => [budget, unallocated(changed[budget]!)])),
	};
};
