import type {BudgetRights, HolderRights, RightsObject} from '@deckwheel/ledger';
import {retiredHolder} from './retired-holder.js';

type Inputs = {
	readonly host: string;
	/** The name of this life of the host, as a holder of rights. */
	readonly holder: string;
	/** Prepaid tokens by budget, as the configuration has them. */
	readonly limits: ReadonlyMap<string, number>;
	/** The version of that configuration. */
	readonly version: number;
};

const noRights: HolderRights = {
	epoch: 0, granted: 0, transferred: 0, rate: 0, settled: 0, billed: 0,
};

const emptyBudget = (budget: string): BudgetRights => ({
	organisation: budget, limit: 0, limitVersion: 0, topUps: [], holders: {},
});

// What an ended life had not reported is as good as spent: nobody can tell how much of it was.
const merge = (a: HolderRights, b: HolderRights): HolderRights => {
	const granted = a.granted + b.granted;
	const transferred = a.transferred + b.transferred;
	return {
		...noRights, granted, transferred, settled: Math.max(0, granted + transferred), billed: a.billed + b.billed,
	};
};

const retirePredecessors = (holders: BudgetRights['holders'], host: string, holder: string): BudgetRights['holders'] => {
	const ended = Object.keys(holders).filter(name => name.startsWith(`${host}#`) && name !== holder);
	if (ended.length === 0) {
		return holders;
	}

	const kept = Object.entries(holders).filter(([name]) => !ended.includes(name) && name !== retiredHolder);
	let retired = holders[retiredHolder] ?? noRights;
	for (const name of ended) {
		retired = merge(retired, holders[name]!);
	}

	return Object.fromEntries([...kept, [retiredHolder, retired]]);
};

const prepareBudget = (rights: BudgetRights, limit: number, {host, holder, version}: Inputs): BudgetRights => ({
	...rights,
	...(version >= (rights.limitVersion ?? 0) ? {limit, limitVersion: rights.limit === limit ? rights.limitVersion : version} : {}),
	holders: retirePredecessors(rights.holders, host, holder),
});

/**
Brings an object of rights up to date before this host writes to it: the limits of the newest configuration,
and the entries of this host's own earlier lives folded into one. A host starts anew only when its process has ended,
so nobody spends from those any more; what they had not reported stays charged. A budget that cannot be read is left as it is: one
made anew would have nothing spent.
*/
export const prepareRights = (rights: RightsObject, inputs: Inputs): RightsObject => {
	const known = [...inputs.limits]
		.filter(([budget]) => !Object.hasOwn(rights.unreadable ?? {}, budget))
		.map(([budget, limit]) => [budget, prepareBudget(rights.budgets[budget] ?? emptyBudget(budget), limit, inputs)] as const);
	return {...rights, budgets: {...rights.budgets, ...Object.fromEntries(known)}};
};
