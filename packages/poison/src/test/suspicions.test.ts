import fc from 'fast-check';
import test from 'ava';
import {blockPhaseAt} from '../lib/blocking/block-phase-at.js';
import {blockedUntil} from '../lib/blocking/blocked-until.js';
import {createBlockList} from '../lib/blocking/create-block-list.js';
import {createSuspicionTable} from '../lib/create-suspicion-table.js';
import {mergeSuspicions} from '../lib/merge-suspicions.js';
import {successiveCrashes} from '../lib/successive-crashes.js';
import type {Suspicion} from '../lib/suspicion.js';

const minuteMs = 60_000;

/** Builds a suspicion from runs that crashed the endpoints `e0`, `e1`, ...: pairs of the times, in ms, when the run was sent and ended. */
const suspicionOf = (runs: ReadonlyArray<readonly [number, number]>, cleared: readonly string[] = []): Suspicion => ({
	crashes: new Map(runs.map(([sentAt, endedAt], index) => [`e${index}`, {sentAt, endedAt}])),
	cleared: new Set(cleared),
});

test('endpoints that crash together count once, and crashes in succession count each', t => {
	t.is(successiveCrashes(suspicionOf([[0, 10], [10, 20], [30, 40]])).length, 3);
	t.is(successiveCrashes(suspicionOf([[0, 10], [5, 11], [9, 12]])).length, 1, 'all under way when the first endpoint crashed');
	t.is(successiveCrashes(suspicionOf([[0, 10], [5, 20], [12, 22]])).length, 2);
	t.is(successiveCrashes(suspicionOf([[0, 10], [5, 1010], [6, 1500], [7, 2010]])).length, 3, 'several runs at once, whose ends lie a second apart');
	t.is(successiveCrashes(suspicionOf([[0, 10], [10, 20], [30, 40]], ['e1'])).length, 2, 'a cleared crash does not count');
});

test('the third crash blocks a request for two minutes, and each further crash doubles the block, up to a day', t => {
	const crashes = Array.from({length: 16}, (_, i) => [i, i + 1] as const);
	t.is(blockedUntil(suspicionOf(crashes.slice(0, 2))), undefined);
	t.is(blockedUntil(suspicionOf(crashes.slice(0, 3))), 3 + (2 * minuteMs));
	t.is(blockedUntil(suspicionOf(crashes.slice(0, 5))), 5 + (8 * minuteMs));
	t.true(blockedUntil(suspicionOf(crashes))! <= 24 * 60 * minuteMs);
});

const anySuspicion = fc.array(fc.record({
	endpoint: fc.constantFrom('a', 'b', 'c', 'd'), sentAt: fc.integer({min: 0, max: 50}), tookMs: fc.integer({min: 0, max: 50}), isCleared: fc.boolean(),
}), {maxLength: 4}).map((runs): Suspicion => ({
	crashes: new Map(runs.map(({endpoint, sentAt, tookMs}) => [endpoint, {sentAt, endedAt: sentAt + tookMs}])),
	cleared: new Set(runs.filter(({isCleared}) => isCleared).map(({endpoint}) => endpoint)),
}));

const toPlainObject = ({crashes, cleared}: Suspicion) => ({crashes: Object.fromEntries(crashes), cleared: [...cleared].sort()});

test('suspicions of several hosts merge to the same result in any order and when merged twice', t => {
	fc.assert(fc.property(anySuspicion, anySuspicion, anySuspicion, (a, b, c) => {
		const merged = mergeSuspicions(mergeSuspicions(a, b), c);
		t.deepEqual(toPlainObject(mergeSuspicions(mergeSuspicions(c, a), b)), toPlainObject(merged));
		t.deepEqual(toPlainObject(mergeSuspicions(merged, a)), toPlainObject(merged));
	}));
	t.pass();
});

test('the number of crashes remembered of one request is bounded', t => {
	const ends = Array.from({length: 40}, (_, i) => [i, i + 1] as const);
	t.is(mergeSuspicions(suspicionOf([]), suspicionOf(ends)).crashes.size, 16);
});

test('many different requests take a bounded memory and evict no blocked request', t => {
	const table = createSuspicionTable(() => 100);
	table.merge('blocked', suspicionOf([[0, 10], [10, 20], [30, 40]]));
	for (let i = 0; i < 10_000; i++) {
		table.merge(`once-${i}`, suspicionOf([[0, 10]]));
	}

	t.is(table.get('once-0'), undefined);
	t.not(table.get('once-9999'), undefined);
	t.is(blockPhaseAt(table.get('blocked'), 100), 'blocked');
});

test('a block expires, a crash soon after it blocks for twice as long, and the suspicion is forgotten at last', t => {
	let now = 1;
	const table = createSuspicionTable(() => now);
	table.merge('r', suspicionOf([[1, 10], [10, 20], [30, 40]]));
	const blockList = createBlockList({
		table, isProven: () => false, rankOf: () => 0, log: () => undefined, now: () => now,
	});
	blockList.review();
	t.deepEqual(blockList.blocked(), ['r']);
	now += 3 * minuteMs;
	t.is(blockList.blockedUntil(['r']), undefined);
	blockList.review();
	t.deepEqual(blockList.blocked(), []);
	table.merge('r', {crashes: new Map([['e9', {sentAt: now, endedAt: now + 10}]]), cleared: new Set()});
	blockList.review();
	t.is(blockList.blockedUntil(['r']), now + 10 + (4 * minuteMs));
	now += 15 * minuteMs;
	t.is(table.get('r'), undefined);
	t.true(table.isEmpty());
});
