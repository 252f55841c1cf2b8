import test from 'ava';
import fc from 'fast-check';
import {
	unallocated, type BudgetRights, type HolderRights, type RightsObject,
} from '@deckwheel/ledger';
import {mergeRestored} from '../lib/rights-store/merge-restored.js';
import {prepareRights} from '../lib/rights-store/prepare-rights.js';
import {retiredHolder} from '../lib/rights-store/retired-holder.js';

const entry = (granted: number, era: number, sequence: number): HolderRights => ({
	epoch: 0, granted, transferred: 0, rate: 0, settled: granted, billed: granted, written: {era, sequence},
});

const object = (holders: BudgetRights['holders'], limitVersion = 1, limit = 1000): RightsObject => ({
	budgets: {
		org: {
			organisation: 'org', limit, limitVersion, topUps: [], holders,
		},
	},
});

const merge = (before: BudgetRights['holders'], found: BudgetRights['holders'], era = 2): BudgetRights['holders'] =>
	mergeRestored(object(before), object(found), era).budgets.org!.holders;

test('of each holder the newer entry is kept, whether it was written before or after the restore', t => {
	t.deepEqual(merge({'a#1': entry(50, 1, 5)}, {'a#1': entry(20, 1, 3)}), {'a#1': entry(50, 1, 5)});
	t.deepEqual(merge({'a#1': entry(50, 1, 5)}, {'a#1': entry(70, 2, 6)}), {'a#1': entry(70, 2, 6)});
	t.deepEqual(merge({'a#1': entry(50, 1, 5)}, {'a#1': entry(30, 2, 6)}), {'a#1': entry(30, 2, 6)}, 'the holder gave rights back');
});

test('a holder that has an entry only before or only after the restore is kept', t => {
	t.deepEqual(merge({'a#1': entry(50, 1, 5)}, {}), {'a#1': entry(50, 1, 5)});
	t.deepEqual(merge({}, {'b#1': entry(50, 2, 1)}), {'b#1': entry(50, 2, 1)});
});

test('an incarnation that was folded before the restore is not charged a second time after it', t => {
	const retired = entry(80, 1, 1);
	t.deepEqual(merge({[retiredHolder]: retired, 'a#2': entry(10, 1, 1)}, {'a#1': entry(80, 1, 4)}), {[retiredHolder]: retired, 'a#2': entry(10, 1, 1)});
});

test('an incarnation that was folded from the older copy is charged once for what it drew after the copy was made', t => {
	const copy = object({'a#1': entry(60, 1, 3)});
	const folded = prepareRights(copy, {
		host: 'a', holder: 'a#2', limits: new Map([['org', 1000]]), version: 1, era: 2,
	});
	const merged = mergeRestored(object({'a#1': entry(100, 1, 5)}), folded, 2);
	t.is(unallocated(merged.budgets.org!), 900);
	t.is(unallocated(mergeRestored(object({'a#1': entry(100, 1, 5)}), merged, 2).budgets.org!), 900, 'merged again by a second host that had read the entry');
});

test('merging a restored object a second time changes nothing', t => {
	const before = {'a#1': entry(50, 1, 5), 'b#1': entry(5, 1, 1)};
	const once = merge(before, {'a#1': entry(20, 1, 3), 'c#1': entry(7, 2, 1)});
	t.deepEqual(merge(before, once), once);
});

test('the limit of the newer configuration is kept, and so is a budget that the restored object lacks', t => {
	const merged = mergeRestored(object({}, 5, 900), object({}, 3, 1000), 2);
	t.is(merged.budgets.org!.limit, 900);
	t.deepEqual(mergeRestored(object({'a#1': entry(5, 1, 1)}), {budgets: {}}, 2), object({'a#1': entry(5, 1, 1)}));
});

test('a budget whose record in the restored object cannot be read is not replaced by an older record', t => {
	const found: RightsObject = {budgets: {}, unreadable: {org: 'spoilt'}};
	t.deepEqual(mergeRestored(object({'a#1': entry(5, 1, 1)}), found, 2), found);
});

type Step = {readonly host: number; readonly tokens: number; readonly restarts: boolean};

/** Returns the states of a budget on which three hosts draw one after the other. A host that restarts folds its ended incarnations with its next write. */
const playHistory = (steps: readonly Step[]): readonly RightsObject[] => {
	const incarnations = [0, 0, 0];
	const states: RightsObject[] = [object({}, 1, 100_000)];
	for (const {host, tokens, restarts} of steps) {
		incarnations[host]! += restarts ? 1 : 0;
		const holder = `edge-${host}#${incarnations[host]}`;
		const prepared = prepareRights(states.at(-1)!, {
			host: `edge-${host}`, holder, limits: new Map([['org', 100_000]]), version: 1, era: 1,
		}).budgets.org!;
		const before = prepared.holders[holder];
		const written = entry((before?.granted ?? 0) + tokens, 1, (before?.written?.sequence ?? 0) + 1);
		states.push({budgets: {org: {...prepared, holders: {...prepared.holders, [holder]: written}}}});
	}

	return states;
};

const steps = fc.array(fc.record({host: fc.nat(2), tokens: fc.integer({min: 1, max: 500}), restarts: fc.boolean()}), {minLength: 1, maxLength: 25});

test('a merged object equals the latest state that the copy or a host had, whether the host read it before or after the copy was made', t => {
	fc.assert(fc.property(steps, fc.nat(), fc.array(fc.nat(), {minLength: 1, maxLength: 3}), (played, copyAt, readAt) => {
		const states = playHistory(played);
		const copy = copyAt % states.length;
		const reads = readAt.map(index => index % states.length);
		let merged = states[copy]!;
		for (const index of reads) {
			merged = mergeRestored(states[index]!, merged, 2);
		}

		const latest = states[Math.max(copy, ...reads)]!.budgets.org!;
		t.is(unallocated(merged.budgets.org!), unallocated(latest));
		t.deepEqual(Object.keys(merged.budgets.org!.holders).toSorted(), Object.keys(latest.holders).toSorted());
	}), {numRuns: 500});
});
