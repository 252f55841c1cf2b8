import type {BudgetRights, HolderRights, RightsObject} from '@deckwheel/ledger';
import {retiredHolder} from './retired-holder.js';

type Holders = BudgetRights['holders'];

const isWrittenIn = (entry: HolderRights | undefined, era: number): boolean => entry?.written?.era === era;

const sequenceOf = (entry: HolderRights): number => entry.written?.sequence ?? 0;

// A holder alone writes its entry, and counts its writes.
const newer = (before: HolderRights, found: HolderRights): HolderRights => sequenceOf(found) > sequenceOf(before) ? found : before;

// What it was charged when it was folded was an earlier state of it.
const addFolded = (retired: HolderRights, name: string, entry: HolderRights): HolderRights => {
	const missing = Math.max(0, entry.granted + entry.transferred - retired.folded![name]!);
	return {
		...retired,
		granted: retired.granted + missing,
		settled: retired.settled + missing,
		folded: {...retired.folded, [name]: retired.folded![name]! + missing},
	};
};

const mergeHolders = (before: Holders, found: Holders, era: number): Holders => {
	const isFoldedAnew = isWrittenIn(found[retiredHolder], era);
	let retired = isFoldedAnew ? found[retiredHolder] : before[retiredHolder] ?? found[retiredHolder];
	const merged: Record<string, HolderRights> = {};
	for (const [name, entry] of Object.entries(found)) {
		// One that is not known any more had been folded when the copy was made.
		if (name !== retiredHolder && (before[name] !== undefined || isFoldedAnew || isWrittenIn(entry, era))) {
			merged[name] = entry;
		}
	}

	for (const [name, entry] of Object.entries(before).filter(([other]) => other !== retiredHolder)) {
		if (found[name]) {
			merged[name] = newer(entry, found[name]);
		} else if (retired?.folded?.[name] === undefined) {
			merged[name] = entry;
		} else {
			retired = addFolded(retired, name, entry);
		}
	}

	return retired ? {...merged, [retiredHolder]: retired} : merged;
};

const mergeBudget = (before: BudgetRights, found: BudgetRights, era: number): BudgetRights => {
	const {limit, limitVersion} = (before.limitVersion ?? 0) > (found.limitVersion ?? 0) ? before : found;
	return {
		...found, limit, limitVersion, holders: mergeHolders(before.holders, found.holders, era),
	};
};

/**
Brings what this host read before the store was restored into the copy that it reads now. Pure.

The copy lacks what was written last, and holds what was written since. Of each holder the newer entry counts. Where that cannot be told,
what is charged counts: a budget is rather used too little than overspent.

@param before The object as this host last saw it in an earlier era.
@param found The object as it is in the new one.
@param era The new era.
*/
export const mergeRestored = (before: RightsObject, found: RightsObject, era: number): RightsObject => {
	const budgets = Object.entries(before.budgets)
		.filter(([name]) => !Object.hasOwn(found.unreadable ?? {}, name))
		.map(([name, rights]) => [name, found.budgets[name] ? mergeBudget(rights, found.budgets[name], era) : rights] as const);
	return {...found, budgets: {...found.budgets, ...Object.fromEntries(budgets)}};
};
