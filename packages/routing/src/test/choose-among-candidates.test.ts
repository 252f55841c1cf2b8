import test from 'ava';
import {sampleOf} from '@deckwheel/core';
import fc from 'fast-check';
import {chooseAmongCandidates} from '../endpoints/choose-among-candidates.js';
import type {EndpointEvent} from '../endpoints/endpoint-event.js';
import type {EndpointInfo} from '../endpoints/endpoint-info.js';
import type {EndpointTable} from '../endpoints/endpoint-table.js';
import {stepEndpoints} from '../endpoints/step-endpoints.js';
import type {EndpointLoad} from '../load/endpoint-load.js';
import {scoreByExpectedTime} from '../scoring/score-by-expected-time.js';

const endpointCount = 40;
const slots = 4;
const ids = Array.from({length: endpointCount}, (_, index) => `e${index}`);

const listed: readonly EndpointInfo[] = ids.map((id, index) => ({
	id, hall: index % 2 === 0 ? 'a' : 'b', serves: ['s'], slots, isLeaving: false,
}));

const near = listed.filter(({hall}) => hall === 'a').map(({id}) => id);
const far = listed.filter(({hall}) => hall === 'b').map(({id}) => id);

const tableOf = (endpoints: readonly EndpointInfo[], events: readonly EndpointEvent[] = []): EndpointTable => {
	let table: EndpointTable = new Map();
	for (const event of [{type: 'configured', endpoints} as const, ...events]) {
		table = stepEndpoints(table, event, 0);
	}

	return table;
};

type Options = {
	readonly table?: EndpointTable;
	readonly openAt?: (id: string) => number;
	readonly favoured?: readonly string[];
	readonly tried?: readonly string[];
	readonly cachedTokens?: (id: string) => number;
	readonly random?: () => number;
	readonly unreachableHalls?: ReadonlySet<string>;
};

const choose = ({table = tableOf(listed), openAt = () => 0, favoured = [], tried = [], cachedTokens = () => 0, random = Math.random, unreachableHalls}: Options) => {
	const loadOf = (id: string): EndpointLoad => ({
		open: openAt(id), pendingPromptTokens: 0, pace: 1, ageMs: 0,
	});
	return chooseAmongCandidates(table, {
		target: 's', hall: 'a', tried, avoidedHalls: [], unreachableHalls, promptTokens: 1000, cachedTokens, loadOf, typicalResponseMs: undefined,
	}, 0, {
		candidates: {favoured, near, far}, scoreEndpoint: scoreByExpectedTime, randomCount: 3, random,
	});
};

test('idle endpoints of the own hall all get requests, not the one with the lowest id', t => {
	const chosen = new Set(Array.from({length: 2000}, () => choose({})!.endpoint));
	t.deepEqual([...chosen].toSorted(), near.toSorted());
});

test('a favoured endpoint that has the prompt cached is chosen, whichever others are drawn', t => {
	const cachedTokens = (id: string): number => id === 'e7' ? 900 : 0;
	for (let round = 0; round < 50; round++) {
		t.is(choose({favoured: ['e7'], cachedTokens})!.endpoint, 'e7');
	}
});

// Guards against requests that queue at a full endpoint while another one is idle.
test('an endpoint without a free slot is chosen only if no endpoint has one', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.subarray(ids), fc.constantFrom(...ids), (free, favourite) => {
			const choice = choose({
				openAt: id => free.includes(id) ? 0 : slots, favoured: [favourite], cachedTokens: id => id === favourite ? 1000 : 0,
			})!;
			return choice.hasCapacity === (free.length > 0) && (free.length === 0 || free.includes(choice.endpoint));
		}));
	});
});

test('endpoints that are excluded or were tried are never chosen, even if they are favoured and nothing else is left', t => {
	const left = 'e4';
	const others = ids.filter(id => id !== left);
	const cases: ReadonlyArray<{readonly name: string; readonly options: Options}> = [
		{name: 'unlisted', options: {table: tableOf(listed.filter(({id}) => id === left))}},
		{name: 'leaving', options: {table: tableOf(listed.map(info => ({...info, isLeaving: info.id !== left})))}},
		{name: 'told that it leaves', options: {table: tableOf(listed, others.map(endpoint => ({type: 'leaving', endpoint})))}},
		{name: 'ejected', options: {table: tableOf(listed, others.map(endpoint => ({type: 'gone', endpoint})))}},
		{name: 'resting', options: {table: tableOf(listed, others.map(endpoint => ({type: 'rest_asked', endpoint, until: 1})))}},
		{name: 'limited', options: {table: tableOf(listed, others.map(endpoint => ({type: 'limited', endpoint, until: 1})))}},
		{name: 'tried', options: {tried: others}},
	];
	for (const {name, options} of cases) {
		t.is(choose({...options, favoured: others.slice(0, 3)})?.endpoint, left, `${name}: the one left`);
		t.is(choose({...options, favoured: others.slice(0, 3), tried: ids}), undefined, `${name}: nothing left`);
	}

	for (let round = 0; round < 50; round++) {
		t.true(near.includes(choose({unreachableHalls: new Set(['b']), favoured: far})!.endpoint));
	}
});

test('a sample has as many different members as were asked for, all members equally often', t => {
	fc.assert(fc.property(fc.uniqueArray(fc.integer()), fc.nat(50), (members, count) => {
		const sample = sampleOf(members, count, Math.random);
		return new Set(sample).size === Math.min(count, members.length) && sample.every(member => members.includes(member));
	}));
	// Every sequence of random numbers on a grid: each pair of three members is drawn equally often.
	const counts = new Map<string, number>();
	for (let a = 0; a < 6; a++) {
		for (let b = 0; b < 6; b++) {
			const numbers = [a / 6, b / 6];
			const pair = [...sampleOf(['x', 'y', 'z'], 2, () => numbers.shift()!)].toSorted().join('');
			counts.set(pair, (counts.get(pair) ?? 0) + 1);
		}
	}

	t.deepEqual([...counts.values()], [12, 12, 12]);
});
