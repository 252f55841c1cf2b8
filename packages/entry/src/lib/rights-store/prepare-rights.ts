import {ownValue} from '@deckwheel/core';
import type {BudgetRights, HolderRights, RightsObject} from '@deckwheel/ledger';
import {retiredHolder} from './retired-holder.js';

type Inputs = {
	/** The name of this host. */
	readonly host: string;
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	/** Prepaid tokens by budget, as configured. */
	readonly limits: ReadonlyMap<string, number>;
	/** The version of the configuration that states the limits. */
	readonly version: number;
	/** The era of the store in which the object is written; by default the first. */
	readonly era?: number;
};

const noRights: HolderRights = {
	epoch: 0, granted: 0, transferred: 0, rate: 0, settled: 0, billed: 0,
};

const emptyBudget = (budget: string): BudgetRights => ({
	organisation: budget, limit: 0, limitVersion: 0, topUps: [], holders: {},
});

// All that an ended incarnation held is charged as spent: how much it had spent after its last write cannot be known.
const addAsSpent = (retired: HolderRights, ended: HolderRights): HolderRights => {
	const granted = retired.granted + ended.granted;
	const transferred = retired.transferred + ended.transferred;
	return {
		...noRights,
		granted,
		transferred,
		settled: Math.max(0, granted + transferred),
		billed: retired.billed + ended.billed,
		...(retired.folded ? {folded: retired.folded} : {}),
	};
};

// An entry of an earlier era may be older than the last write before the store was restored. What it was charged is noted under its name, so
// that a host that read a newer state of the entry can add the difference.
const noteFolded = (retired: HolderRights, name: string, {granted, transferred, written}: HolderRights, era: number): HolderRights =>
	written && written.era < era ? {...retired, folded: {...retired.folded, [name]: granted + transferred}} : retired;

const retirePredecessors = (holders: BudgetRights['holders'], {host, holder, era = 0}: Inputs): BudgetRights['holders'] => {
	const isEnded = (name: string): boolean => name.startsWith(`${host}#`) && name !== holder;
	const ended = Object.entries(holders).filter(([name]) => isEnded(name));
	if (ended.length === 0) {
		return holders;
	}

	const kept = Object.entries(holders).filter(([name]) => !isEnded(name) && name !== retiredHolder);
	let retired = holders[retiredHolder] ?? noRights;
	for (const [name, entry] of ended) {
		retired = noteFolded(addAsSpent(retired, entry), name, entry, era);
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
Updates an object of rights before this host writes it: applies the limits of the newest configuration, and folds the entries of this host's
ended incarnations into the entry of the retired holder. A host starts only after its previous process has ended, so no process spends from
those entries any more; what the ended incarnations had not reported stays charged. A budget whose record cannot be read is left as it is,
because a newly made record would state that nothing was spent. Pure.
*/
export const prepareRights = (rights: RightsObject, inputs: Inputs): RightsObject => {
	const prepared = [...inputs.limits]
		.filter(([budget]) => !Object.hasOwn(rights.unreadable ?? {}, budget))
		.map(([budget, limit]) => [budget, prepareBudget(ownValue(rights.budgets, budget) ?? emptyBudget(budget), limit, inputs)] as const);
	return {...rights, budgets: {...rights.budgets, ...Object.fromEntries(prepared)}};
};
