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
	/** The era of the store in which this is written; by default the first. */
	readonly era?: number;
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
		...noRights,
		granted,
		transferred,
		settled: Math.max(0, granted + transferred),
		billed: a.billed + b.billed,
		...(a.folded ? {folded: a.folded} : {}),
	};
};

// Others may know an entry better than the copy from which the store was restored: they add what it lacks.
const noteFolded = (retired: HolderRights, name: string, {granted, transferred, written}: HolderRights, era: number): HolderRights =>
	written && written.era < era ? {...retired, folded: {...retired.folded, [name]: granted + transferred}} : retired;

const retirePredecessors = (holders: BudgetRights['holders'], {host, holder, era = 0}: Inputs): BudgetRights['holders'] => {
	const ended = Object.keys(holders).filter(name => name.startsWith(`${host}#`) && name !== holder);
	if (ended.length === 0) {
		return holders;
	}

	const kept = Object.entries(holders).filter(([name]) => !ended.includes(name) && name !== retiredHolder);
	let retired = holders[retiredHolder] ?? noRights;
	for (const name of ended) {
		retired = noteFolded(merge(retired, holders[name]!), name, holders[name]!, era);
	}

	const written = {era, sequence: (holders[retiredHolder]?.written?.sequence ?? 0) + 1};
	return Object.fromEntries([...kept, [retiredHolder, {...retired, written}]]);
};

const prepareBudget = (rights: BudgetRights, limit: number, inputs: Inputs): BudgetRights => ({
	...rights,
	...(inputs.version >= (rights.limitVersion ?? 0) ? {limit, limitVersion: rights.limit === limit ? rights.limitVersion : inputs.version} : {}),
	holders: retirePredecessors(rights.holders, inputs),
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
