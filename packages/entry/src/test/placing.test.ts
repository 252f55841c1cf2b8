/**
Plays requests of many hosts at endpoints, without a network: what each host knows of the others' requests is 300 to 400 ms old, as it is
where reports come each 100 ms and links take their time.
*/
import test from 'ava';
import type {PromptPart} from '../lib/admission/prompt-part.js';
import {playPlacing, type PlacingPlay} from './lib/play-placing.js';

type Request = {readonly parts: readonly PromptPart[]; readonly events: number};

let requestCount = 0;

/** Makes the part of a prompt that belongs to its request alone. */
const ownPart = (tokens: number): PromptPart => ({id: `own-${requestCount++}`, tokens});

const pick = (count: number, random: () => number): number => Math.floor(random() * count);

const shortRequest = (random: () => number): Request => ({parts: [{id: `brief-${pick(10, random)}`, tokens: 198}, ownPart(628)], events: 73});

/** A long prompt: one part is shared by a quarter of all, the next one by a few. */
const longRequest = (random: () => number): Request => {
	const group = pick(40, random);
	return {parts: [{id: `quarter-${group % 4}`, tokens: 2500}, {id: `group-${group}`, tokens: 3800}, ownPart(2890)], events: 13};
};

const mixedRequest = (random: () => number): Request => random() < 0.45 ? longRequest(random) : shortRequest(random);

/** 28 of 100 requests have the same shared part. */
const withHotPrefix = (random: () => number): Request =>
	random() < 0.28 ? {parts: [{id: 'hot', tokens: 6300}, ownPart(1000)], events: 13} : mixedRequest(random);

const unevenSpeeds = (count: number): readonly number[] => Array.from({length: count}, (_, index) => [0.7, 0.7, 1.7][index % 3]!);

const manyHosts: PlacingPlay = {
	hosts: 80,
	speeds: unevenSpeeds(63),
	slots: 32,
	requestsPerSecond: 400,
	nextRequest: mixedRequest,
	knowledgeAgeMs: 300,
	isByExpectedTime: true,
	untilMs: 16_000,
	fromMs: 6000,
	seed: 1,
};

const medianOf = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;

// Guards against a hot prefix that piles up its requests at one endpoint while others are idle.
const manySmallEndpoints = {speeds: unevenSpeeds(98), slots: 16};
for (const shape of [{}, {seed: 2}, manySmallEndpoints, {...manySmallEndpoints, seed: 2}]) {
	const {speeds, slots, seed} = {...manyHosts, ...shape};
	test(`the busiest of ${speeds.length} endpoints has at most 4 times the median open, and none is overfilled, when 28 of 100 requests share a prefix (seed ${seed})`, t => {
		const {meanOpen, overfilled, mostOpen} = playPlacing({...manyHosts, ...shape, nextRequest: withHotPrefix});
		const median = medianOf(meanOpen);
		t.true(median > 0.5, `the median of ${median} is too small to compare with`);
		t.true(Math.max(...meanOpen) <= 4 * median, `${Math.max(...meanOpen)} against ${median}`);
		t.is(overfilled, 0);
		t.true(Math.max(...mostOpen) <= slots);
	});
}

test('under load, endpoints of uneven speeds get requests by their speeds', t => {
	const speeds = unevenSpeeds(63);
	// Prompts of 2,000 tokens at 1,000 a second keep the endpoints busy for five sixths of their time.
	const {placed} = playPlacing({
		...manyHosts, speeds, requestsPerSecond: 1000, nextRequest: () => ({parts: [ownPart(2000)], events: 20}), untilMs: 12_000,
	});
	const sumOfSpeeds = speeds.reduce((sum, speed) => sum + (1 / speed), 0);
	for (const speed of new Set(speeds)) {
		const isOfSpeed = (index: number): boolean => speeds[index] === speed;
		const share = placed.filter(({endpoint}) => isOfSpeed(endpoint)).length / placed.length;
		const fairShare = speeds.filter(other => other === speed).length / speed / sumOfSpeeds;
		t.true(Math.abs((share / fairShare) - 1) <= 0.15, `${share} of the requests at speed ${speed}, ${fairShare} of the speed`);
	}
});

// Guards against a prefix that is read anew at another endpoint each time its own endpoint is slow for a moment.
test('a spell of 600 ms in which an endpoint takes 2.5 times as long moves no prefix', t => {
	const rare: PromptPart = {id: 'rare', tokens: 6300};
	const nextRequest = (random: () => number): Request => random() < 0.01 ? {parts: [rare, ownPart(1000)], events: 13} : mixedRequest(random);
	const endpointsOf = (disturbance?: PlacingPlay['disturbance']): ReadonlySet<number> => {
		const {placed} = playPlacing({
			...manyHosts, requestsPerSecond: 300, nextRequest, disturbance,
		});
		return new Set(placed.filter(({request}) => request.parts[0] === rare).map(({endpoint}) => endpoint));
	};

	const undisturbed = endpointsOf();
	for (const spellAt of [8000, 9000, 10_000]) {
		const disturbed = endpointsOf((endpoint, now) => undisturbed.has(endpoint) && now >= spellAt && now < spellAt + 600 ? 2.5 : 1);
		t.deepEqual(disturbed, undisturbed);
	}
});

test('without reports of other hosts, requests still spread better than by own open requests and prefixes alone', t => {
	const play = {...manyHosts, requestsPerSecond: 300, nextRequest: withHotPrefix};
	const byOwnCounts = playPlacing({...play, knowledgeAgeMs: undefined});
	const byAffinity = playPlacing({...play, isByExpectedTime: false});
	t.true(byOwnCounts.overfilled < byAffinity.overfilled);
	t.true(Math.max(...byOwnCounts.meanOpen) < Math.max(...byAffinity.meanOpen));
});
