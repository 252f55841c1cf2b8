/**
A model of hosts that together have more requests for one endpoint than the limit that the endpoint names. In any four seconds all hosts
together must stay within what the limit allows, and they must use what it allows.

Hosts learn of the limit from responses, which take up to two seconds. Their peer lists lack hosts that started later. Hosts are cut
off from the others while they still reach the endpoint, suspended and restarted. Only requests of a host that restarted or woke less
than three seconds ago are not counted: that host may not have learnt of the limit yet.
*/
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {coordinatorsOf} from '@deckwheel/routing';
import fc from 'fast-check';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {createEndpointLimits} from '../lib/request-limits/create-endpoint-limits.js';
import type {EndpointLimits} from '../lib/request-limits/endpoint-limits.js';
import {createRandom} from './lib/create-random.js';

const endpoint = {id: 'e', hall: 'hall-0'};
const endMs = 24_000;
const stepMs = 40;
const firstLimitAt = 1000;
const windowMs = 4000;
const propagationMs = 3000;
const maxResponseMs = 2000;
const maxConnectMs = 250;
const demandPerSecond = 60;
const maxMissingPeers = 10;
const settleMs = 1000;

type Span = {readonly host: number; readonly from: number; readonly forMs: number};

type Scenario = {
	readonly count: number;
	/** The limits that the endpoint names one after the other, each for the same time, in requests a second; `undefined` for none. */
	readonly limits: ReadonlyArray<number | undefined>;
	readonly cuts: readonly Span[];
	readonly suspensions: readonly Span[];
	readonly restarts: ReadonlyArray<Omit<Span, 'forMs'>>;
	readonly seed: number;
};

type Outcome = {
	readonly arrivals: readonly Arrival[];
	/** When a response first named each limit, in ms, by the index of the limit in the scenario. */
	readonly firstNamedAt: ReadonlyMap<number, number>;
};

type Arrival = {readonly at: number; readonly host: number; readonly isCounted: boolean};

const hostIndex = fc.integer({min: 0, max: 1000});
const time = fc.integer({min: 0, max: endMs});
const span = fc.record({host: hostIndex, from: time, forMs: fc.integer({min: 500, max: 10_000})});
const limit = fc.oneof(fc.constantFrom(0, 0.3, 1, 1000), fc.double({min: 0, max: 30, noNaN: true}));

const anyScenario: fc.Arbitrary<Scenario> = fc.record({
	count: fc.integer({min: 3, max: 40}),
	limits: fc.oneof(fc.array(limit, {minLength: 1, maxLength: 1}), fc.array(fc.option(limit, {nil: undefined}), {minLength: 1, maxLength: 3})),
	cuts: fc.array(span, {maxLength: 4}),
	suspensions: fc.array(span, {maxLength: 3}),
	restarts: fc.array(fc.record({host: hostIndex, from: time}), {maxLength: 4}),
	seed: fc.integer(),
});

const bindingLimit = (perSecond: number | undefined): number | undefined => perSecond === undefined || perSecond >= 1000 ? undefined : perSecond;

/** The index of the limit that is in force at a time; below 0 before the first limit. */
const phaseAt = ({limits}: Scenario, at: number): number =>
	Math.min(limits.length - 1, Math.floor((at - firstLimitAt) / ((endMs - firstLimitAt) / limits.length)));

const limitAt = (scenario: Scenario, at: number): number | undefined => bindingLimit(scenario.limits[phaseAt(scenario, at)]);

const peerOf = (index: number, incarnation = 0): ListedPeer => ({holder: `edge-${index}#${incarnation}`, address: `10.0.0.${index}:1`, hall: `hall-${index % 3}`});

/** Runs a scenario; returns when requests reached the endpoint, and when the endpoint first named each of its limits. */
const play = async (scenario: Scenario): Promise<Outcome> => {
	const firstNamedAt = new Map<number, number>();
	const random = createRandom(scenario.seed);
	const arrivals: Arrival[] = [];
	const responses: Array<{readonly at: number; readonly host: number; readonly incarnation: number; readonly sentAt: number}> = [];
	let now = 0;
	const indexes = Array.from({length: scenario.count}, (_, index) => index);
	const isWithin = (spans: readonly Span[], index: number): boolean =>
		spans.some(({host, from, forMs}) => host % scenario.count === index && now >= from && now < from + forMs);
	const reaches = (host: number, other: number): boolean =>
		!isWithin(scenario.cuts, host) && !isWithin(scenario.cuts, other) && !isWithin(scenario.suspensions, other);

	const startHost = (index: number, incarnation: number) => {
		const self = peerOf(index, incarnation);
		const startedAt = now;
		const isPeerListKnown = (): boolean => incarnation === 0 || now - startedAt >= settleMs;
		const missing = new Set(indexes.filter(other => incarnation === 0 && other > index && random() < 0.5).slice(0, maxMissingPeers));
		const listed = new Map(indexes.filter(other => other !== index && !missing.has(other)).map(other => [peerOf(other).address, peerOf(other)]));
		const sendTo = async <T>(address: string, handle: (limits: EndpointLimits) => T): Promise<T | undefined> => {
			const other = indexes.find(entry => peerOf(entry).address === address)!;
			return reaches(index, other) ? handle(hosts[other]!.limits) : undefined;
		};

		const limits = createEndpointLimits({
			self: () => self,
			others: () => isPeerListKnown() ? [...listed.values()] : [],
			isPeerListKnown,
			requestPermit: async (address, request) => sendTo(address, limits => limits.answerPermit(self, request)),
			sendLimits: async (address, message) => sendTo(address, limits => limits.answerLimits(self, message)),
			noteHost(peer, how) {
				if (peer.address !== self.address && (how === 'direct' || !listed.has(peer.address))) {
					listed.set(peer.address, peer);
				}
			},
			onLimitChanged() {
				closedUntil = 0;
			},
			count: () => undefined,
			log: () => undefined,
			now: () => now,
		});
		let closedUntil = 0;
		return {
			limits,
			incarnation,
			isClosed: () => closedUntil > now,
			close(until: number) {
				closedUntil = until;
			},
			restartedAt: incarnation === 0 ? Number.NEGATIVE_INFINITY : startedAt,
		};
	};

	const hosts = indexes.map(index => startHost(index, 0));

	const isExempt = (index: number): boolean => {
		const woke = scenario.suspensions.some(({host, from, forMs}) => host % scenario.count === index && now >= from && now < from + forMs + propagationMs);
		return woke || now - hosts[index]!.restartedAt < propagationMs;
	};

	const restart = (index: number): void => {
		hosts[index] = startHost(index, hosts[index]!.incarnation + 1);
	};

	const deliverDueResponses = (): void => {
		for (const response of responses.filter(({at, host}) => at <= now && !isWithin(scenario.suspensions, host))) {
			responses.splice(responses.indexOf(response), 1);
			const phase = phaseAt(scenario, response.at);
			firstNamedAt.set(phase, Math.min(response.at, firstNamedAt.get(phase) ?? endMs));
			if (hosts[response.host]!.incarnation === response.incarnation) {
				hosts[response.host]!.limits.noteResponse(endpoint, limitAt(scenario, response.at), response.sentAt);
			}
		}
	};

	const send = async (index: number): Promise<void> => {
		const host = hosts[index]!;
		if (host.isClosed() || isWithin(scenario.suspensions, index)) {
			return;
		}

		const permit = host.limits.isLimited(endpoint.id) ? await host.limits.acquire(endpoint) : {isGranted: true as const};
		if (!permit.isGranted) {
			host.close(permit.retryAt);
			return;
		}

		const at = now + (random() * maxConnectMs);
		arrivals.push({at, host: index, isCounted: !isExempt(index)});
		responses.push({
			at: at + (random() * (maxResponseMs - maxConnectMs)), host: index, incarnation: host.incarnation, sentAt: now,
		});
	};

	const restartDueHosts = (): void => {
		for (const {host} of scenario.restarts.filter(({from}) => from >= now && from < now + stepMs)) {
			restart(host % scenario.count);
		}

		for (const {limits, restartedAt} of hosts) {
			if (now - restartedAt >= settleMs) {
				limits.notePeerList();
			}
		}
	};

	for (; now < endMs; now += stepMs) {
		restartDueHosts();
		deliverDueResponses();
		for (const index of indexes) {
			if (random() < (demandPerSecond / scenario.count) * (stepMs / 1000)) {
				await send(index);
			}
		}

		await nextTurn();
	}

	return {arrivals: arrivals.toSorted((one, other) => one.at - other.at), firstNamedAt};
};

/** Describes each window that held more requests than its bound allows; empty when none did. */
const findExcess = (scenario: Scenario, {arrivals, firstNamedAt}: Outcome): readonly string[] => arrivals.flatMap(({at: from}) => {
	const until = from + windowMs;
	const inForce = Array.from({length: Math.ceil((propagationMs + windowMs) / stepMs)}, (_, index) => from - propagationMs + (index * stepMs))
		.map(at => at >= (firstNamedAt.get(phaseAt(scenario, at)) ?? endMs) ? limitAt(scenario, at) : undefined);
	if (inForce.includes(undefined)) {
		return [];
	}

	const allowed = (1.5 * Math.max(...inForce.map(perSecond => perSecond!)) * (windowMs / 1000)) + 5;
	const got = arrivals.filter(({at, isCounted}) => isCounted && at >= from && at <= until).length;
	return got > allowed ? [`${got} of ${allowed} from ${Math.round(from)} ms`] : [];
});

test('all hosts together never exceed an endpoint\'s limit in any four seconds, through partitions, suspensions and restarts', async t => {
	await fc.assert(fc.asyncProperty(anyScenario, async scenario => {
		const excess = findExcess(scenario, await play(scenario));
		if (excess.length > 0) {
			throw new Error(excess.slice(0, 3).join(', '));
		}
	}), {numRuns: 60});
	t.pass();
});

for (const [perSecond, least] of [[1, 18], [10, 180], [0.3, 4]] as const) {
	test(`40 hosts use most of what a limit of ${perSecond} a second allows`, async t => {
		const scenario: Scenario = {
			count: 40, limits: [perSecond], cuts: [], suspensions: [], restarts: [], seed: 1,
		};
		const {arrivals} = await play(scenario);
		const got = arrivals.filter(({at}) => at > firstLimitAt + propagationMs).length;
		t.true(got >= least, `${got} requests in 20 s`);
	});
}

for (const perSecond of [0, 1]) {
	test(`all hosts drop a limit of ${perSecond} a second that the endpoint no longer names`, async t => {
		const lifted: Scenario = {
			count: 20, limits: [perSecond, undefined], cuts: [], suspensions: [], restarts: [], seed: 1,
		};
		const {arrivals} = await play(lifted);
		const lastSeconds = arrivals.filter(({at}) => at > endMs - windowMs).length;
		t.true(lastSeconds > 200, `${lastSeconds} requests of 240 that were wanted`);
	});
}

test('a host that wakes with responses from before the limit was lowered does not raise the limit', async t => {
	const woken: Scenario = {
		count: 3, limits: [13.431_372_450_980_394, 0], cuts: [], suspensions: [{host: 199, from: 5395, forMs: 9566}], restarts: [], seed: 1_357_428_367,
	};
	t.deepEqual(findExcess(woken, await play(woken)), []);
});

test('hosts whose peer lists lack the first coordinator learn of it, so that no two hosts issue permits up to the limit', async t => {
	const ofCount = (count: number): readonly ListedPeer[] => Array.from({length: count}, (_, index) => peerOf(index));
	const startsLast = Array.from({length: 30}, (_, index) => index + 9)
		.filter(count => coordinatorsOf(endpoint, ofCount(count))[0] === peerOf(count - 1).address);
	t.true(startsLast.length > 0);
	for (const [count, seed] of startsLast.flatMap(count => [1, 2, 3, 4].map(seed => [count, seed] as const))) {
		const unlisted: Scenario = {
			count, limits: [10], cuts: [], suspensions: [], restarts: [], seed,
		};
		t.deepEqual(findExcess(unlisted, await play(unlisted)), [], `${count} hosts, seed ${seed}`);
	}
});

test('all hosts together keep the limit, whichever host is cut off from the others', async t => {
	const indexes = Array.from({length: 6}, (_, index) => index);
	for (const host of indexes) {
		const cut: Scenario = {
			count: indexes.length, limits: [10], cuts: [{host, from: 2000, forMs: endMs}], suspensions: [], restarts: [], seed: 1,
		};
		t.deepEqual(findExcess(cut, await play(cut)), []);
	}
});
