import test from 'ava';
import {blamedSubjects} from '../lib/blocking/blamed-subjects.js';
import type {Suspicion} from '../lib/suspicion.js';

/** A suspicion with one crash for each endpoint: the runs of endpoint 1, 2 and so on followed one after the other. */
const under = (...endpoints: readonly number[]): Suspicion =>
	({crashes: new Map(endpoints.map(number => [`e${number}`, {sentAt: number * 10, endedAt: (number * 10) + 5}])), cleared: new Set()});

const blamedOf = (accused: Readonly<Record<string, Suspicion>>, proven: readonly string[] = []): readonly string[] =>
	[...blamedSubjects(new Map(Object.entries(accused)), subject => proven.includes(subject))].sort();

test('a part that was only under way beside the cause of crashes is blamed', t => {
	t.deepEqual(blamedOf({'part:bad': under(1, 2, 3, 4), 'part:beside': under(1, 2, 3)}), ['part:bad']);
	t.deepEqual(blamedOf({'part:bad': under(1, 2, 3, 4, 5), 'part:beside': under(2, 4, 5, 6)}), ['part:bad']);
});

test('the second of two causes is taken for a bystander of the first', t => {
	t.deepEqual(blamedOf({'part:a': under(1, 2, 3, 4), 'part:b': under(4, 5, 6, 7)}), ['part:a', 'part:b']);
});

test('with the same crashes, a part that many sound requests have is blamed before one that never came to a good end', t => {
	t.deepEqual(blamedOf({'part:first': under(1, 2, 3), 'part:rare': under(1, 2, 3)}, ['part:first']), ['part:rare']);
});

test('with the same crashes, a part is blamed before the one request that has it', t => {
	t.deepEqual(blamedOf({'part:a': under(1, 2, 3), request: under(1, 2, 3)}), ['request']);
});

test('a subject that three crashes hold against is blamed for none', t => {
	t.deepEqual(blamedOf({request: under(1, 2, 3)}, ['request']), ['request']);
	t.deepEqual(blamedOf({}), []);
});
