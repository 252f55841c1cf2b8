/**
A model of hosts that send to an endpoint while it is cold, each by itself and as fast as the rule lets it. All hosts together must not
send more within any second than the endpoint bears, and what the rule lets through is sent.

Hosts' lists of hosts differ: each lacks up to ten hosts that are up, and holds some that ended. They restart at any time and forget
what they sent. New connections take up to a quarter of a second. No host hears of another, so cuts between halls change nothing.
*/
import {rankByRendezvous} from '@deckwheel/core';
import test from 'ava';
import fc from 'fast-check';
import {findExclusion} from '../endpoints/find-exclusion.js';
import {isColdSender} from '../endpoints/is-cold-sender.js';
import {stepEndpoints} from '../endpoints/step-endpoints.js';
import type {EndpointTable} from '../endpoints/endpoint-table.js';

const endpoint = 'e';
const endMs = 5000;
const stepMs = 20;
const slowestConnectMs = 250;
const missingPerList = 10;

type Scenario = {
	readonly hostCount: number;
	readonly endedHostCount: number;
	readonly perSecond: number;
	/** Whether the lists lack the hosts that rank first, or others. */
	readonly isMissingFirst: boolean;
	readonly seed: number;
	readonly hasRestarts: boolean;
};

const scenarios: fc.Arbitrary<Scenario> = fc.record({
	hostCount: fc.integer({min: 7, max: 200}),
	endedHostCount: fc.integer({min: 0, max: 30}),
	perSecond: fc.double({min: 0, max: 40, noNaN: true}),
	isMissingFirst: fc.boolean(),
	seed: fc.integer(),
	hasRestarts: fc.boolean(),
});

/** Numbers from 0 up to 1 that follow from a seed. */
const createRandom = (seed: number): (() => number) => {
	const modulus = (2 ** 31) - 1;
	let state = 1 + (Math.abs(seed) % (modulus - 1));
	return () => {
		state = (state * 48_271) % modulus;
		return state / modulus;
	};
};

const newTable = (now: number): EndpointTable => stepEndpoints(new Map(), {
	type: 'configured',
	endpoints: [{
		id: endpoint, hall: 'hall-a', serves: ['s'], slots: 8, isLeaving: false, coldUntil: 2 * endMs,
	}],
}, now);

/** When requests of one host arrive, in ms. */
const simulateHost = (isSender: boolean, hasRestarts: boolean, random: () => number): readonly number[] => {
	const arrivals: number[] = [];
	const request = {target: 's', hall: 'hall-a', warmup: {warmupMs: 0, reopenedAt: new Map<string, number>(), isSender: () => isSender}};
	let table = newTable(-endMs);
	for (let now = random() * stepMs; now < endMs; now += stepMs) {
		if (hasRestarts && random() < 0.02) {
			table = newTable(now);
		}

		if (!findExclusion(table.get(endpoint)!, request, now)) {
			table = stepEndpoints(table, {type: 'started', endpoint}, now);
			arrivals.push(now + (random() * slowestConnectMs));
		}
	}

	return arrivals;
};

const hostListOf = (host: string, all: readonly string[], isMissingFirst: boolean, random: () => number): readonly string[] => {
	const ranked = isMissingFirst ? rankByRendezvous(`cold ${endpoint}`, all) : all.toSorted(() => random() - 0.5);
	const missing = new Set(ranked.filter(other => other !== host).slice(0, missingPerList));
	return all.filter(other => !missing.has(other));
};

const simulate = (scenario: Scenario): readonly number[] => {
	const random = createRandom(scenario.seed);
	const all = Array.from({length: scenario.hostCount}, (_, index) => `10.0.0.${index}:1`);
	const ended = Array.from({length: scenario.endedHostCount}, (_, index) => `10.9.0.${index}:1`);
	return all.flatMap(host => {
		const hosts = [...hostListOf(host, all, scenario.isMissingFirst, random), ...ended.filter(() => random() < 0.5)];
		return simulateHost(isColdSender(endpoint, {host, hosts, perSecond: scenario.perSecond}), scenario.hasRestarts, random);
	}).toSorted((one, other) => one - other);
};

const maxWithinSecond = (arrivals: readonly number[]): number =>
	Math.max(0, ...arrivals.map((first, index) => arrivals.slice(index).filter(at => at - first <= 1000).length));

test('no second holds more requests than a cold endpoint bears, whatever the hosts know of each other', t => {
	fc.assert(fc.property(scenarios, scenario => maxWithinSecond(simulate(scenario)) <= scenario.perSecond), {numRuns: 100});
	t.pass();
});

test('what a cold endpoint bears is used: hosts whose lists agree send about a request a second each, four of them at 14.9 a second', t => {
	const hosts = Array.from({length: 74}, (_, index) => `10.0.0.${index}:1`);
	const senders = hosts.filter(host => isColdSender(endpoint, {host, hosts, perSecond: 14.9}));
	t.is(senders.length, 4);
	const sent = simulateHost(true, false, createRandom(1)).length;
	t.is(sent, 4, 'within five seconds');
});

test('an endpoint that bears no more than lists may differ by gets nothing while it is cold', t => {
	const hosts = Array.from({length: 7}, (_, index) => `10.0.0.${index}:1`);
	t.false(hosts.some(host => isColdSender(endpoint, {host, hosts, perSecond: 10.9})));
});
