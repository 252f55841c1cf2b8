import fc from 'fast-check';
import test from 'ava';
import {blockedUntil} from '../lib/blocked-until.js';
import {createSuspicionTable} from '../lib/create-suspicion-table.js';
import {mergeSuspicions} from '../lib/merge-suspicions.js';
import {successiveEnds} from '../lib/successive-ends.js';
import type {Suspicion} from '../lib/suspicion.js';

const minuteMs = 60_000;

/** Runs at endpoints `e0`, `e1`, ..., as pairs of when each was sent and ended. */
const suspicionOf = (runs: ReadonlyArray<readonly [number, number]>, cleared: readonly string[] = []): Suspicion => ({
	ends: new Map(runs.map(([sentAt, endedAt], index) => [`e${index}`, {sentAt, endedAt}])),
	cleared: new Set(cleared),
});

test('ends count one after the other: each run was sent after the end before it, or ended well after it', t => {
	t.is(successiveEnds(suspicionOf([[0, 10], [10, 20], [30, 40]])).length, 3);
	t.is(successiveEnds(suspicionOf([[0, 10], [5, 11], [9, 12]])).length, 1, 'all under way when the first ended');
	t.is(successiveEnds(suspicionOf([[0, 10], [5, 20], [12, 22]])).length, 2);
	t.is(successiveEnds(suspicionOf([[0, 10], [5, 1010], [6, 1500], [7, 2010]])).length, 3, 'several runs at once, whose ends lie a second apart');
	t.is(successiveEnds(suspicionOf([[0, 10], [10, 20], [30, 40]], ['e1'])).length, 2, 'one that it is not to blame for');
});

test('the third end blocks a request for two minutes, and each further one for twice as long, up to a day', t => {
	const ends = Array.from({length: 16}, (_, i) => [i, i + 1] as const);
	t.is(blockedUntil(suspicionOf(ends.slice(0, 2))), undefined);
	t.is(blockedUntil(suspicionOf(ends.slice(0, 3))), 3 + (2 * minuteMs));
	t.is(blockedUntil(suspicionOf(ends.slice(0, 5))), 5 + (8 * minuteMs));
	t.true(blockedUntil(suspicionOf(ends))! <= 24 * 60 * minuteMs);
});

const anySuspicion = fc.array(fc.record({
	endpoint: fc.constantFrom('a', 'b', 'c', 'd'), sentAt: fc.integer({min: 0, max: 50}), tookMs: fc.integer({min: 0, max: 50}), isCleared: fc.boolean(),
}), {maxLength: 4}).map((runs): Suspicion => ({
	ends: new Map(runs.map(({endpoint, sentAt, tookMs}) => [endpoint, {sentAt, endedAt: sentAt + tookMs}])),
	cleared: new Set(runs.filter(({isCleared}) => isCleared).map(({endpoint}) => endpoint)),
}));

const plain = ({ends, cleared}: Suspicion) => ({ends: Object.fromEntries(ends), cleared: [...cleared].sort()});

test('what hosts know merges to the same in any order, however often it is told', t => {
	fc.assert(fc.property(anySuspicion, anySuspicion, anySuspicion, (a, b, c) => {
		const merged = mergeSuspicions(mergeSuspicions(a, b), c);
		t.deepEqual(plain(mergeSuspicions(mergeSuspicions(c, a), b)), plain(merged));
		t.deepEqual(plain(mergeSuspicions(merged, a)), plain(merged));
	}));
	t.pass();
});

test('what is remembered of one request is bounded', t => {
	const ends = Array.from({length: 40}, (_, i) => [i, i + 1] as const);
	t.is(mergeSuspicions(suspicionOf([]), suspicionOf(ends)).ends.size, 16);
});

test('another request each time takes a bounded memory, and lets none go that is blocked', t => {
	const table = createSuspicionTable(() => 100);
	table.merge('blocked', suspicionOf([[0, 10], [10, 20], [30, 40]]));
	for (let i = 0; i < 10_000; i++) {
		table.merge(`once-${i}`, suspicionOf([[0, 10]]));
	}

	t.is(table.get('once-0'), undefined);
	t.not(table.get('once-9999'), undefined);
	t.not(table.blockedUntil('blocked'), undefined);
});

test('a block ends by itself, one more end soon after blocks for longer, and later all is forgotten', t => {
	let now = 1;
	const table = createSuspicionTable(() => now);
	table.merge('r', suspicionOf([[1, 10], [10, 20], [30, 40]]));
	t.deepEqual(table.blocked(), ['r']);
	now += 3 * minuteMs;
	t.is(table.blockedUntil('r'), undefined);
	t.deepEqual(table.blocked(), []);
	table.merge('r', {ends: new Map([['e9', {sentAt: now, endedAt: now + 10}]]), cleared: new Set()});
	t.is(table.blockedUntil('r'), now + 10 + (4 * minuteMs));
	now += 15 * minuteMs;
	t.is(table.get('r'), undefined);
	t.true(table.isEmpty());
});
