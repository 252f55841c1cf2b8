/** Guards against a stream that goes on at an endpoint of another software version than the one that wrote its first event. */
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {headerNames} from './lib/header-names.js';
import {openStream, type StreamEnd} from './lib/open-stream.js';
import {startVersionedFleet, streamLength, troubleHeader} from './lib/start-versioned-fleet.js';

const streamCount = 40;

const versions = ['v1', 'v2', 'v3', 'v1', 'v2', 'v3'];

const halls = ['hall-a', 'hall-b', 'hall-a', 'hall-b'];

const versionsIn = (ends: readonly StreamEnd[]): number => new Set(ends.flatMap(({events}) => events.map(({data}) => data))).size;

const idsIn = (ends: readonly StreamEnd[]): readonly number[] => ends.flatMap(({events}) => events.map(({id}) => id));

const wholeStream = Array.from({length: streamLength}, (_, index) => index + 1);

test('a stream that breaks off goes on within its answer at another version', async t => {
	const {hosts} = await startVersionedFleet(t, {halls: ['hall-a'], versions});
	const ends = await Promise.all(Array.from({length: streamCount}, async (_, index) =>
		openStream(hosts[0]!.callers, `s${index}`, {[troubleHeader]: 'break'}).ended));
	t.deepEqual(ends.map(end => versionsIn([end])), ends.map(() => 1));
});

// One stream for each endpoint: more of them in a row would eject endpoints, and an ejected one gets no stream.
test('a stream that breaks off ends there although another endpoint of its version is left', async t => {
	const {hosts} = await startVersionedFleet(t, {halls: ['hall-a'], versions});
	const ends = await Promise.all(versions.map(async (_, index) =>
		openStream(hosts[0]!.callers, `s${index}`, {[troubleHeader]: 'break'}).ended));
	t.deepEqual(ends.map(end => versionsIn([end])), ends.map(() => 1));
	t.deepEqual(ends.map(end => idsIn([end])), ends.map(() => wholeStream));
});

test('a stream goes on at another version once its caller takes it up at another host, 10 ms after its first event and its host is dead', async t => {
	const {hosts} = await startVersionedFleet(t, {halls, versions});
	const begun = Array.from({length: streamCount}, (_, index) => openStream(hosts[0]!.callers, `s${index}`, {[troubleHeader]: 'hold'}));
	await Promise.all(begun.map(async ({first}) => first));
	await sleep(10);
	await hosts[0]!.entry.kill();
	const pairs = await Promise.all(begun.map(async ({ended}, index) => {
		const beginning = await ended;
		const lastId = String(beginning.events.at(-1)!.id);
		const host = hosts[1 + (index % 3)]!;
		const continuation = await openStream(host.callers, `t${index}`, {[headerNames.resumes]: `s${index}`, [headerNames.lastEventId]: lastId}).ended;
		return [beginning, continuation];
	}));
	t.deepEqual(pairs.map(ends => versionsIn(ends)), pairs.map(() => 1));
	t.deepEqual(pairs.map(ends => idsIn(ends)), pairs.map(() => wholeStream));
});
