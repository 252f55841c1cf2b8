import type {BudgetRights, HolderRights, RightsObject} from '@deckwheel/ledger';
import {retiredHolder} from './retired-holder.js';

type Holders = BudgetRights['holders'];

const isWrittenIn = (entry: HolderRights | undefined, era: number): boolean => entry?.written?.era === era;

const sequenceOf = (entry: HolderRights): number => entry.written?.sequence ?? 0;

// An entry's writes are counted; entries of earlier versions tell no count.
const newer = (before: HolderRights, found: HolderRights): HolderRights => {
	const difference = sequenceOf(found) - sequenceOf(before);
	return difference > 0 || (difference === 0 && found.granted > before.granted) ? found : before;
};

/**
Which of both has more lives folded: a holder that the later one lacks was folded in it. `undefined` where none was folded in between, or
where lives were folded in both eras.
*/
const findLaterFold = (before: HolderRights | undefined, found: HolderRights | undefined, era: number): 'before' | 'found' | undefined => {
	const difference = (found ? sequenceOf(found) : 0) - (before ? sequenceOf(before) : 0);
	if (difference === 0 || isWrittenIn(found, era)) {
		return undefined;
	}

	return difference > 0 ? 'found' : 'before';
};

const pickRetired = (before: HolderRights | undefined, found: HolderRights | undefined, era: number): HolderRights | undefined => {
	if (!before || !found) {
		return found ?? before;
	}

	return isWrittenIn(found, era) ? found : newer(before, found);
};

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
	const laterFold = findLaterFold(before[retiredHolder], found[retiredHolder], era);
	let retired = pickRetired(before[retiredHolder], found[retiredHolder], era);
	const merged: Record<string, HolderRights> = {};
	for (const [name, entry] of Object.entries(found)) {
		const isFolded = before[name] === undefined && laterFold === 'before' && !isWrittenIn(entry, era);
		if (name !== retiredHolder && !isFolded) {
			merged[name] = before[name] ? newer(before[name], entry) : entry;
		}
	}

	const missing = Object.entries(before).filter(([name]) => name !== retiredHolder && found[name] === undefined && laterFold !== 'found');
	for (const [name, entry] of missing) {
		if (retired?.folded?.[name] === undefined) {
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
