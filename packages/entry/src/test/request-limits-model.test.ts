/**
A model of hosts that all want more of one endpoint than the limit that it names. All of them together must stay within what the limit
allows in any four seconds, and what it allows is used.

Hosts hear of the limit by answers, which take up to two seconds. Their lists lack hosts that started later. They are cut off from the
others while they still reach the endpoint, suspended, and restarted. Only a host that restarted or woke less than three seconds ago is
left out of the count: it may not have heard yet.
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
const namedAt = 1000;
const windowMs = 4000;
const hearingMs = 3000;
const slowestAnswerMs = 2000;
const slowestConnectMs = 250;
const demandPerSecond = 60;
const listLacks = 10;
const settleMs = 1000;

type Span = {readonly host: number; readonly from: number; readonly forMs: number};

type Course = {
	readonly count: number;
	/** Limits one after the other, each for the same time; `undefined` for none. */
	readonly limits: ReadonlyArray<number | undefined>;
	readonly cuts: readonly Span[];
	readonly suspensions: readonly Span[];
	readonly restarts: ReadonlyArray<Omit<Span, 'forMs'>>;
	readonly seed: number;
};

type Outcome = {
	readonly arrivals: readonly Arrival[];
	/** By the place of the limit in the course. */
	readonly namedFirstAt: ReadonlyMap<number, number>;
};

type Arrival = {readonly at: number; readonly host: number; readonly isCounted: boolean};

const hostIndex = fc.integer({min: 0, max: 1000});
const time = fc.integer({min: 0, max: endMs});
const span = fc.record({host: hostIndex, from: time, forMs: fc.integer({min: 500, max: 10_000})});
const limit = fc.oneof(fc.constantFrom(0, 0.3, 1, 1000), fc.double({min: 0, max: 30, noNaN: true}));

const course: fc.Arbitrary<Course> = fc.record({
	count: fc.integer({min: 3, max: 40}),
	limits: fc.oneof(fc.array(limit, {minLength: 1, maxLength: 1}), fc.array(fc.option(limit, {nil: undefined}), {minLength: 1, maxLength: 3})),
	cuts: fc.array(span, {maxLength: 4}),
	suspensions: fc.array(span, {maxLength: 3}),
	restarts: fc.array(fc.record({host: hostIndex, from: time}), {maxLength: 4}),
	seed: fc.integer(),
});

const bindingLimit = (perSecond: number | undefined): number | undefined => perSecond === undefined || perSecond >= 1000 ? undefined : perSecond;

/** Which of the limits holds then; below 0 before the first. */
const phaseAt = ({limits}: Course, at: number): number =>
	Math.min(limits.length - 1, Math.floor((at - namedAt) / ((endMs - namedAt) / limits.length)));

const limitAt = (played: Course, at: number): number | undefined => bindingLimit(played.limits[phaseAt(played, at)]);

const peerOf = (index: number, life = 0): ListedPeer => ({holder: `edge-${index}#${life}`, address: `10.0.0.${index}:1`, hall: `hall-${index % 3}`});

/** Plays a course, and tells when requests reached the endpoint, and when it first named each of its limits. */
const play = async (played: Course): Promise<Outcome> => {
	const namedFirstAt = new Map<number, number>();
	const random = createRandom(played.seed);
	const arrivals: Arrival[] = [];
	const answers: Array<{readonly at: number; readonly host: number; readonly life: number; readonly sentAt: number}> = [];
	let now = 0;
	const indexes = Array.from({length: played.count}, (_, index) => index);
	const isWithin = (spans: readonly Span[], index: number): boolean =>
		spans.some(({host, from, forMs}) => host % played.count === index && now >= from && now < from + forMs);
	const reaches = (one: number, other: number): boolean =>
		!isWithin(played.cuts, one) && !isWithin(played.cuts, other) && !isWithin(played.suspensions, other);

	const startHost = (index: number, life: number) => {
		const self = peerOf(index, life);
		const startedAt = now;
		const isSettled = (): boolean => life === 0 || now - startedAt >= settleMs;
		const missing = new Set(indexes.filter(other => life === 0 && other > index && random() < 0.5).slice(0, listLacks));
		const listed = new Map(indexes.filter(other => other !== index && !missing.has(other)).map(other => [peerOf(other).address, peerOf(other)]));
		const ask = async <T>(address: string, answer: (limits: EndpointLimits) => T): Promise<T | undefined> => {
			const other = indexes.find(entry => peerOf(entry).address === address)!;
			return reaches(index, other) ? answer(hosts[other]!.limits) : undefined;
		};

		const limits = createEndpointLimits({
			self: () => self,
			others: () => isSettled() ? [...listed.values()] : [],
			isSettled,
			askPermit: async (address, question) => ask(address, limits => limits.answerPermit(self, question)),
			sendLimits: async (address, message) => ask(address, limits => limits.answerLimits(self, message)),
			noteHost(peer, how) {
				if (peer.address !== self.address && (how === 'direct' || !listed.has(peer.address))) {
					listed.set(peer.address, peer);
				}
			},
			onChanged() {
				closedUntil = 0;
			},
			count: () => undefined,
			log: () => undefined,
			now: () => now,
		});
		let closedUntil = 0;
		return {
			limits,
			life,
			isClosed: () => closedUntil > now,
			close(until: number) {
				closedUntil = until;
			},
			restartedAt: life === 0 ? Number.NEGATIVE_INFINITY : startedAt,
		};
	};

	const hosts = indexes.map(index => startHost(index, 0));

	const isExcused = (index: number): boolean => {
		const woke = played.suspensions.some(({host, from, forMs}) => host % played.count === index && now >= from && now < from + forMs + hearingMs);
		return woke || now - hosts[index]!.restartedAt < hearingMs;
	};

	const restart = (index: number): void => {
		hosts[index] = startHost(index, hosts[index]!.life + 1);
	};

	const answerDue = (): void => {
		for (const answer of answers.filter(({at, host}) => at <= now && !isWithin(played.suspensions, host))) {
			answers.splice(answers.indexOf(answer), 1);
			const phase = phaseAt(played, answer.at);
			namedFirstAt.set(phase, Math.min(answer.at, namedFirstAt.get(phase) ?? endMs));
			if (hosts[answer.host]!.life === answer.life) {
				hosts[answer.host]!.limits.noteAnswer(endpoint, limitAt(played, answer.at), answer.sentAt);
			}
		}
	};

	const send = async (index: number): Promise<void> => {
		const host = hosts[index]!;
		if (host.isClosed() || isWithin(played.suspensions, index)) {
			return;
		}

		const permit = host.limits.isLimited(endpoint.id) ? await host.limits.acquire(endpoint) : {isGranted: true as const};
		if (!permit.isGranted) {
			host.close(permit.retryAt);
			return;
		}

		const at = now + (random() * slowestConnectMs);
		arrivals.push({at, host: index, isCounted: !isExcused(index)});
		answers.push({
			at: at + (random() * (slowestAnswerMs - slowestConnectMs)), host: index, life: host.life, sentAt: now,
		});
	};

	const restartDue = (): void => {
		for (const {host} of played.restarts.filter(({from}) => from >= now && from < now + stepMs)) {
			restart(host % played.count);
		}

		for (const {limits, restartedAt} of hosts) {
			if (now - restartedAt >= settleMs) {
				limits.peersListed();
			}
		}
	};

	for (; now < endMs; now += stepMs) {
		restartDue();
		answerDue();
		for (const index of indexes) {
			if (random() < (demandPerSecond / played.count) * (stepMs / 1000)) {
				await send(index);
			}
		}

		await nextTurn();
	}

	return {arrivals: arrivals.toSorted((one, other) => one.at - other.at), namedFirstAt};
};

/** What a window beyond its bound held; empty where all hold. */
const findExcess = (played: Course, {arrivals, namedFirstAt}: Outcome): readonly string[] => arrivals.flatMap(({at: from}) => {
	const until = from + windowMs;
	const inForce = Array.from({length: Math.ceil((hearingMs + windowMs) / stepMs)}, (_, index) => from - hearingMs + (index * stepMs))
		.map(at => at >= (namedFirstAt.get(phaseAt(played, at)) ?? endMs) ? limitAt(played, at) : undefined);
	if (inForce.includes(undefined)) {
		return [];
	}

	const allowed = (1.5 * Math.max(...inForce.map(perSecond => perSecond!)) * (windowMs / 1000)) + 5;
	const got = arrivals.filter(({at, isCounted}) => isCounted && at >= from && at <= until).length;
	return got > allowed ? [`${got} of ${allowed} from ${Math.round(from)} ms`] : [];
});

test('in no four seconds do all hosts together exceed what a limit allows, whatever they know of each other', async t => {
	await fc.assert(fc.asyncProperty(course, async played => {
		const excess = findExcess(played, await play(played));
		if (excess.length > 0) {
			throw new Error(excess.slice(0, 3).join(', '));
		}
	}), {numRuns: 60});
	t.pass();
});

for (const [perSecond, least] of [[1, 18], [10, 180], [0.3, 4]] as const) {
	test(`what a limit of ${perSecond} a second allows is used by 40 hosts`, async t => {
		const calm: Course = {
			count: 40, limits: [perSecond], cuts: [], suspensions: [], restarts: [], seed: 1,
		};
		const {arrivals} = await play(calm);
		const got = arrivals.filter(({at}) => at > namedAt + hearingMs).length;
		t.true(got >= least, `${got} requests in 20 s`);
	});
}

for (const perSecond of [0, 1]) {
	test(`a limit of ${perSecond} a second that ends is forgotten by all hosts`, async t => {
		const lifted: Course = {
			count: 20, limits: [perSecond, undefined], cuts: [], suspensions: [], restarts: [], seed: 1,
		};
		const {arrivals} = await play(lifted);
		const lastSeconds = arrivals.filter(({at}) => at > endMs - windowMs).length;
		t.true(lastSeconds > 200, `${lastSeconds} requests of 240 that were wanted`);
	});
}

test('a host that wakes with answers from before a fall of the limit does not raise it', async t => {
	const woken: Course = {
		count: 3, limits: [13.431_372_450_980_394, 0], cuts: [], suspensions: [{host: 199, from: 5395, forMs: 9566}], restarts: [], seed: 1_357_428_367,
	};
	t.deepEqual(findExcess(woken, await play(woken)), []);
});

test('a first coordinator that half of the hosts do not list is found by them, so that there are no two', async t => {
	const ofCount = (count: number): readonly ListedPeer[] => Array.from({length: count}, (_, index) => peerOf(index));
	const startsLast = Array.from({length: 30}, (_, index) => index + 9)
		.filter(count => coordinatorsOf(endpoint, ofCount(count))[0] === peerOf(count - 1).address);
	t.true(startsLast.length > 0);
	for (const [count, seed] of startsLast.flatMap(count => [1, 2, 3, 4].map(seed => [count, seed] as const))) {
		const unlisted: Course = {
			count, limits: [10], cuts: [], suspensions: [], restarts: [], seed,
		};
		t.deepEqual(findExcess(unlisted, await play(unlisted)), [], `${count} hosts, seed ${seed}`);
	}
});

test('whichever host is cut off from the others, all together keep the limit', async t => {
	const indexes = Array.from({length: 6}, (_, index) => index);
	for (const host of indexes) {
		const cut: Course = {
			count: indexes.length, limits: [10], cuts: [{host, from: 2000, forMs: endMs}], suspensions: [], restarts: [], seed: 1,
		};
		t.deepEqual(findExcess(cut, await play(cut)), []);
	}
});
