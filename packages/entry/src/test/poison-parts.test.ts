/** Guards against different requests with one part of a prompt in common that crash endpoint after endpoint, and against sound ones that are refused for it. */
import test from 'ava';
import {eventually} from './lib/start-crashing-fleet.js';
import {badPart, firstPart, startPartsFleet} from './lib/start-parts-fleet.js';

const halls = ['hall-a', 'hall-b', 'hall-a', 'hall-b', 'hall-a'];

const endpointCount = 10;

/** The number of crashes after which hosts have to know the part, whichever of them saw the crashes. */
const crashesToKnow = 5;

/** The most requests with the part that may reach endpoints afterwards. */
const maxLateArrivals = 3;

type Fleet = Awaited<ReturnType<typeof startPartsFleet>>;

/** Sends some requests at once, each to another host, and waits for their responses. */
const sendWave = async ({send}: Fleet, prompts: ReadonlyArray<readonly string[]>): Promise<readonly number[]> => {
	const answers = await Promise.all(prompts.map(async (parts, index) => send(index, parts)));
	return answers.map(({status}) => status);
};

/** Whether all hosts block the part; they learn it within the time that a host needs to be in touch again. */
const isBlockedAtAll = ({hosts}: Fleet): boolean => hosts.every(({events}) => events.some(({event, fields}) => event === 'part_blocked' && fields.part === badPart));

const middleOf = (number: number): string => `middle-${number % 3}`;

const soundPrompts = Array.from({length: 10}, (_, index) => [firstPart, middleOf(index)]);

test('requests that are never alike crash endpoints by one part that they share', async t => {
	const {send, badArrivals} = await startPartsFleet(t, {halls, endpointCount});
	for (let round = 0; round < 12; round++) {
		await send(round, [firstPart, badPart, middleOf(round)]);
		await send(round + 1, [firstPart, middleOf(round)]);
	}

	t.true(badArrivals.length <= crashesToKnow + maxLateArrivals, `${badArrivals.length} arrivals`);
});

test('a request with a part that is already suspected crashes two endpoints in one attempt', async t => {
	const {send, hosts: [host], badArrivals} = await startPartsFleet(t, {halls: ['hall-a'], endpointCount: 6});
	await send(0, [firstPart, badPart]);
	t.true(await eventually(() => host!.events.filter(({event}) => event === 'run_lost').length === 2));
	t.is(badArrivals.length, 2);
	await send(0, [firstPart, badPart]);
	t.is(badArrivals.length, 3);
});

test('requests with a part that crashes endpoints reach them, or sound ones are refused, once many of both have run at once', async t => {
	const fleet = await startPartsFleet(t, {halls, endpointCount});
	const badPrompts = Array.from({length: 4}, (_, index) => index % 2 === 0 ? [firstPart, badPart] : [firstPart, middleOf(index), badPart]);
	while (fleet.crashes() < crashesToKnow) {
		await sendWave(fleet, [...badPrompts, ...soundPrompts]);
	}

	// Endpoints that crash together count once, so the hosts may need one more crash to know.
	const arrivalsBefore = fleet.badArrivals.length;
	await fleet.send(0, badPrompts[0]!);
	t.true(await eventually(() => isBlockedAtAll(fleet)));
	const statuses: number[] = [];
	for (let round = 0; round < 5; round++) {
		statuses.push(...await sendWave(fleet, badPrompts));
		t.deepEqual(await sendWave(fleet, soundPrompts), soundPrompts.map(() => 200));
	}

	t.true(fleet.badArrivals.length - arrivalsBefore <= maxLateArrivals, `${fleet.badArrivals.length - arrivalsBefore} arrivals`);
	t.true(statuses.filter(status => status === 429).length >= statuses.length - maxLateArrivals);
});

test('of two parts that crash endpoints, one is taken for the cause of all crashes', async t => {
	const fleet = await startPartsFleet(t, {halls, endpointCount, otherBadParts: ['worse']});
	const badPrompts = [[firstPart, badPart], [firstPart, 'worse']];
	for (let round = 0; round < 8; round++) {
		await sendWave(fleet, [...badPrompts, ...soundPrompts]);
	}

	const arrivalsBefore = fleet.badArrivals.length;
	t.deepEqual(await sendWave(fleet, [...badPrompts, ...soundPrompts]), [429, 429, ...soundPrompts.map(() => 200)]);
	t.is(fleet.badArrivals.length, arrivalsBefore);
});

test('a part that crashes endpoints only after good ends is never blocked', async t => {
	const otherBadParts: string[] = [];
	const fleet = await startPartsFleet(t, {halls, endpointCount, otherBadParts});
	await sendWave(fleet, [...soundPrompts, [firstPart, 'later']]);
	otherBadParts.push('later');
	for (let round = 0; round < 6; round++) {
		await sendWave(fleet, [...soundPrompts, [firstPart, 'later']]);
	}

	t.deepEqual(await sendWave(fleet, [...soundPrompts, [firstPart, 'later']]), [...soundPrompts.map(() => 200), 429]);
});

test('a part is blocked although the endpoints crash by themselves', async t => {
	const fleet = await startPartsFleet(t, {halls, endpointCount});
	for (let round = 0; round < 15; round++) {
		const sent = sendWave(fleet, soundPrompts);
		await fleet.crash(round % endpointCount);
		await sent;
	}

	t.deepEqual(fleet.hosts.flatMap(({events}) => events.filter(({event}) => event === 'part_blocked')), []);
	t.deepEqual(await sendWave(fleet, soundPrompts), soundPrompts.map(() => 200));
});

test('the last part of a prompt, which is the request\'s own, is suspected', async t => {
	const {send, hosts} = await startPartsFleet(t, {halls: ['hall-a'], endpointCount: 3});
	await send(0, [badPart]);
	await hosts[0]!.logged('run_lost', ({parts}) => parts === badPart);
	t.pass();
});
