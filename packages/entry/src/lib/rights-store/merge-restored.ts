import {ownValue} from '@deckwheel/core';
import type {BudgetRights, HolderRights, RightsObject} from '@deckwheel/ledger';
import {retiredHolder} from './retired-holder.js';

type Holders = BudgetRights['holders'];

const isWrittenIn = (entry: HolderRights | undefined, era: number): boolean => entry?.written?.era === era;

const sequenceOf = (entry: HolderRights): number => entry.written?.sequence ?? 0;

// Entries carry a sequence number that each write increments. Entries that earlier versions of the program wrote have none and count as 0; of
// two entries with the same number, the one with more granted tokens is taken as the newer.
const pickNewer = (before: HolderRights, found: HolderRights): HolderRights => {
	const difference = sequenceOf(found) - sequenceOf(before);
	return difference > 0 || (difference === 0 && found.granted > before.granted) ? found : before;
};

/**
Finds which of two entries of the retired holder was written later: the one seen `before` the restore or the one `found` after it. A holder
that is missing beside the later entry was folded into it. `undefined` if neither is later, or if incarnations were folded in the new era: then
the order cannot be told from the sequence numbers.
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

	return isWrittenIn(found, era) ? found : pickNewer(before, found);
};

// The entry was folded after the restore, in the earlier state that the copy had of it. Charges the retired holder with what the entry holds beyond that state.
const addFolded = (retired: HolderRights, name: string, charged: number, entry: HolderRights): HolderRights => {
	const missing = Math.max(0, entry.granted + entry.transferred - charged);
	return {
		...retired,
		granted: retired.granted + missing,
		settled: retired.settled + missing,
		folded: {...retired.folded, [name]: charged + missing},
	};
};

const mergeHolders = (before: Holders, found: Holders, era: number): Holders => {
	const laterFold = findLaterFold(before[retiredHolder], found[retiredHolder], era);
	let retired = pickRetired(before[retiredHolder], found[retiredHolder], era);
	const merged = new Map<string, HolderRights>();
	for (const [name, entry] of Object.entries(found)) {
		const earlier = ownValue(before, name);
		const isFolded = earlier === undefined && laterFold === 'before' && !isWrittenIn(entry, era);
		if (name !== retiredHolder && !isFolded) {
			merged.set(name, earlier ? pickNewer(earlier, entry) : entry);
		}
	}

	const missing = Object.entries(before).filter(([name]) => name !== retiredHolder && !Object.hasOwn(found, name) && laterFold !== 'found');
	for (const [name, entry] of missing) {
		const charged = ownValue(retired?.folded, name);
		if (retired && charged !== undefined) {
			retired = addFolded(retired, name, charged, entry);
		} else {
			merged.set(name, entry);
		}
	}

	return Object.fromEntries(retired ? merged.set(retiredHolder, retired) : merged);
};

const mergeBudget = (before: BudgetRights, found: BudgetRights, era: number): BudgetRights => {
	const {limit, limitVersion} = (before.limitVersion ?? 0) > (found.limitVersion ?? 0) ? before : found;
	return {
		...found, limit, limitVersion, holders: mergeHolders(before.holders, found.holders, era),
	};
};

/**
Merges an object of rights that this host read before the store was restored into the object that it reads after the restore. Pure.

The restored object lacks the last writes before the restore, and contains the writes since. Of each holder the newer entry counts. Where it
cannot be told which one is newer, the charge counts: it is better to leave part of a budget unused than to overspend it.

@param before The object as this host last read it, in an earlier era of the store.
@param found The object as this host reads it in the new era.
@param era The new era.
*/
export const mergeRestored = (before: RightsObject, found: RightsObject, era: number): RightsObject => {
	const budgets = Object.entries(before.budgets)
		.filter(([name]) => !Object.hasOwn(found.unreadable ?? {}, name))
		.map(([name, rights]) => {
			const restored = ownValue(found.budgets, name);
			return [name, restored ? mergeBudget(rights, restored, era) : rights] as const;
		});
	return {...found, budgets: {...found.budgets, ...Object.fromEntries(budgets)}};
};
