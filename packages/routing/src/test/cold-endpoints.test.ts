/**
Guards against a cold endpoint that gets more requests from all hosts together than it can take within a second. It comes about when
hosts that cannot coordinate each send what would be allowed for one of them.

The model lets each host send to one cold endpoint as fast as `isColdSender` and `findExclusion` allow. The hosts' lists of hosts
differ: each lacks up to ten running hosts and contains some that have shut down. Hosts restart at any time and forget what they sent.
New connections take up to 250 ms. No host learns anything from another, so partitions between halls change nothing.
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
	/** Whether the lists of hosts lack the hosts that rank first for the endpoint, or random ones. */
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

/** Creates a generator of pseudo-random numbers from 0 up to 1 from a seed. */
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

/** Returns when the requests of one host arrive at the endpoint, in ms. */
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

test('a cold endpoint gets no more requests within a second than it can take, whichever hosts the lists of hosts lack', t => {
	fc.assert(fc.property(scenarios, scenario => maxWithinSecond(simulate(scenario)) <= scenario.perSecond), {numRuns: 100});
	t.pass();
});

test('with equal lists of hosts and a limit of 14.9 requests a second, four hosts send to a cold endpoint, each about once a second', t => {
	const hosts = Array.from({length: 74}, (_, index) => `10.0.0.${index}:1`);
	const senders = hosts.filter(host => isColdSender(endpoint, {host, hosts, perSecond: 14.9}));
	t.is(senders.length, 4);
	const sent = simulateHost(true, false, createRandom(1)).length;
	t.is(sent, 4, 'within five seconds');
});

test('a cold endpoint that can take no more requests a second than lists may lack hosts gets no requests', t => {
	const hosts = Array.from({length: 7}, (_, index) => `10.0.0.${index}:1`);
	t.false(hosts.some(host => isColdSender(endpoint, {host, hosts, perSecond: 10.9})));
});
