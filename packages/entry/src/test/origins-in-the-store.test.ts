/** Guards against streams whose origin the store lacks when all hosts have died, and against calls to the store that no stream needs. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import type {ListedEndpoint} from '../adapter/listed-endpoint.js';
import {createStreamOrigins} from '../lib/stream-origins/create-stream-origins.js';
import {versionMemoryMs} from '../lib/stream-origins/version-memory-ms.js';
import {createFaultyOriginStore, type FaultyOriginStore} from './lib/create-faulty-origin-store.js';
import {createManualClock} from './lib/create-manual-clock.js';

/** How long a first event may wait for the store, in ms. */
const boundMs = 500;

const endpointsOf = (...versions: readonly string[]): readonly ListedEndpoint[] => versions.map(version => ({
	id: version, instance: version, address: `${version}:1`, hall: 'a', serves: ['s'], slots: 1, isLeaving: false, version,
}));

/** Starts the only host of a fleet. */
const startHost = (faulty: FaultyOriginStore = createFaultyOriginStore()) => {
	const clock = createManualClock();
	const counted: string[] = [];
	const self = {holder: 'h#1', address: 'h:1', hall: 'a'};
	const origins = createStreamOrigins({
		host: 'h',
		store: faulty.store,
		writesPerSecond: 400,
		listConfirmMs: 5000,
		schedule: clock.schedule,
		self: () => self,
		others: () => [],
		sendOrigins: async () => undefined,
		counter: {
			increment(name) {
				counted.push(name);
			},
		},
		now: clock.now,
		resumedAt: () => Number.NEGATIVE_INFINITY,
		elapsed: clock.now,
	});
	const pass = async (ms: number): Promise<void> => {
		clock.advance(ms);
		await nextTurn();
	};

	/** Sends an attempt of a stream; the result tells whether its first event may go to the caller. */
	const begin = (key: string, version: string, {attempt = 1, isTakeUp = false} = {}) => {
		const sent = {isReleased: false, keysAtRelease: [] as readonly string[]};
		void (async () => {
			await origins.noteSent({
				key, origin: {service: 's', version, attempt}, keepUntil: clock.now() + 30_000, isTakeUp,
			});
			sent.isReleased = true;
			sent.keysAtRelease = storedKeys();
		})();

		return sent;
	};

	const storedKeys = (): readonly string[] => [...faulty.memory.copy().origins.values()].flatMap(stored => stored.origins).map(({key}) => key).sort();

	return {
		...faulty,
		origins,
		counted,
		pass,
		begin,
		storedKeys,
		/** Sends an attempt, and waits until the store has what it needs. */
		async send(...arguments_: Parameters<typeof begin>) {
			const sent = begin(...arguments_);
			await nextTurn();
			await pass(100);
			return sent;
		},
		storedVersions: () => faulty.memory.copy().versions.services,
	};
};

test('a day of one version costs more than one read and one write in the life of a host, however many streams', async t => {
	const {origins, memory, begin, pass} = startHost();
	origins.list(endpointsOf('v1', 'v1'));
	for (let second = 0; second < 200; second++) {
		const streams = Array.from({length: 5}, (_, index) => begin(`${second}-${index}`, 'v1', {attempt: 1 + (index % 2), isTakeUp: index === 4}));
		// No multiple of it is `versionMemoryMs`, whose fraction of a ms would then decide.
		await pass(1001);
		t.true(streams.every(({isReleased}) => isReleased));
		origins.noteWhole(`${second}-0`);
		t.deepEqual(await origins.findOrigin(`other ${second}`, {services: ['s'], likely: 's', hasEvents: true}), {
			type: 'single', version: 'v1', by: (second + 1) * 1001 < versionMemoryMs ? 'store' : 'nobody', listAgeMs: undefined,
		});
		origins.list(endpointsOf('v1'));
	}

	t.is(memory.calls(), 2);
	const next = startHost(createFaultyOriginStore(memory));
	next.origins.list(endpointsOf('v1'));
	await next.send('a', 'v1');
	await next.send('b', 'v1');
	t.is(memory.calls(), 3);
});

test('a stream of the base is stored', async t => {
	const {origins, begin, send, pass, memory, storedKeys, storedVersions} = startHost();
	origins.list(endpointsOf('v1', 'v2'));
	await send('a', 'v1');
	await send('b', 'v2');
	t.deepEqual(storedVersions(), [{service: 's', base: 'v1', versions: ['v1', 'v2']}]);
	const before = memory.calls();
	const streams = Array.from({length: 20}, (_, index) => begin(`c${index}`, 'v1'));
	await pass(1000);
	t.true(streams.every(({isReleased}) => isReleased));
	t.deepEqual(storedKeys(), ['b']);
	t.is(memory.calls(), before);
});

test('the first event of a stream of another version comes before the store has its origin', async t => {
	const {origins, begin, send, hold, pass, storedVersions} = startHost();
	origins.list(endpointsOf('v1', 'v2'));
	await send('a', 'v1');
	const release = hold();
	const held = begin('b', 'v2');
	await pass(boundMs - 1);
	t.false(held.isReleased);
	release();
	await nextTurn();
	t.deepEqual(storedVersions(), [{service: 's', base: 'v1', versions: ['v1', 'v2']}]);
	await pass(0);
	t.true(held.isReleased);
	t.deepEqual(held.keysAtRelease, ['b']);
	const next = await send('c', 'v2');
	t.deepEqual(next.keysAtRelease, ['b', 'c']);
});

test('a store that does not tell the versions holds a first event for longer than its bound', async t => {
	const {origins, begin, hold, pass, counted} = startHost();
	origins.list(endpointsOf('v1'));
	hold();
	const held = begin('a', 'v1');
	await pass(boundMs - 1);
	t.false(held.isReleased);
	await pass(1);
	t.true(held.isReleased);
	t.is(counted.filter(name => name === 'unrecorded').length, 1);
});

test('a store that does not take an origin holds a first event for longer than its bound', async t => {
	const {origins, begin, send, hold, pass, counted} = startHost();
	origins.list(endpointsOf('v1', 'v2'));
	await send('a', 'v1');
	await send('b', 'v2');
	hold();
	const held = begin('c', 'v2');
	await pass(boundMs - 1);
	t.false(held.isReleased);
	await pass(1);
	t.true(held.isReleased);
	t.is(counted.filter(name => name === 'unrecorded').length, 1);
});

test('a store that refuses all calls holds a first event', async t => {
	const {origins, begin, send, memory} = startHost();
	origins.list(endpointsOf('v1', 'v2'));
	await send('a', 'v1');
	await send('b', 'v2');
	memory.faults.isDown = true;
	await send('c', 'v2');
	const next = begin('d', 'v2');
	await nextTurn();
	t.true(next.isReleased);
});

test('a stream whose earlier attempt went to another version is found there', async t => {
	const {origins, send, memory} = startHost();
	origins.list(endpointsOf('v1', 'v2'));
	await send('a', 'v1');
	await send('b', 'v2', {attempt: 1});
	await send('b', 'v1', {attempt: 2});
	const after = startHost(createFaultyOriginStore(memory));
	after.origins.list(endpointsOf('v1', 'v2'));
	t.deepEqual(await after.origins.findOrigin('b', {services: ['s'], likely: 's', hasEvents: true}), {type: 'known', origin: {service: 's', version: 'v1', attempt: 2}, by: 'store'});
});

test('a stream of another version that is taken up at the base is found at the other version', async t => {
	const {origins, send, memory} = startHost();
	origins.list(endpointsOf('v1', 'v2'));
	await send('a', 'v1');
	await send('b', 'v2');
	const next = startHost(createFaultyOriginStore(memory));
	next.origins.list(endpointsOf('v1', 'v2'));
	await next.send('b', 'v1', {attempt: 2, isTakeUp: true});
	const after = startHost(createFaultyOriginStore(memory));
	after.origins.list(endpointsOf('v1', 'v2'));
	t.deepEqual(await after.origins.findOrigin('b', {services: ['s'], likely: 's', hasEvents: true}), {type: 'known', origin: {service: 's', version: 'v1', attempt: 2}, by: 'store'});
});

test('after the death of all hosts a stream is found at another version than its own', async t => {
	const {origins, send, memory} = startHost();
	origins.list(endpointsOf('v1', 'v2'));
	await send('a', 'v1');
	await send('b', 'v2');
	for (const listed of [['v1', 'v2'], ['v1'], ['v2']]) {
		const {origins: after, pass} = startHost(createFaultyOriginStore(memory));
		after.list(endpointsOf(...listed));
		t.deepEqual(await after.findOrigin('a', {services: ['s'], likely: 's', hasEvents: true}), {type: 'known', origin: {service: 's', version: 'v1', attempt: 0}, by: 'base'});
		const found = after.findOrigin('b', {services: ['s'], likely: 's', hasEvents: true});
		await nextTurn();
		await pass(1000);
		t.deepEqual(await found, {type: 'known', origin: {service: 's', version: 'v2', attempt: 1}, by: 'store'});
	}
});

test('a host that has just started takes a store that cannot be read for a service with one version', async t => {
	const {origins, memory} = startHost();
	origins.list(endpointsOf('v1'));
	memory.faults.isDown = true;
	t.deepEqual(await origins.findOrigin('a', {services: ['s'], likely: 's', hasEvents: true}), {type: 'unreadable'});
});

test('the base stays after streams of it can no longer be taken up, or changes before', async t => {
	const {origins, send, pass, storedVersions} = startHost();
	origins.list(endpointsOf('v1'));
	await send('a', 'v1');
	await pass(versionMemoryMs);
	origins.list(endpointsOf('v1', 'v2'));
	await send('b', 'v2');
	origins.list(endpointsOf('v2'));
	await pass(versionMemoryMs - 1);
	await send('c', 'v2');
	t.is(storedVersions()[0]!.base, 'v1');
	await pass(1);
	await send('d', 'v2');
	t.deepEqual(storedVersions(), [{service: 's', base: 'v2', versions: ['v2']}]);
});

test('a stream that began at the base, while its attempt at another version was not yet stored, is found at that one', async t => {
	const {origins, begin, send, hold, pass, memory} = startHost();
	origins.list(endpointsOf('v1', 'v2'));
	await send('a', 'v1');
	const release = hold();
	begin('b', 'v2', {attempt: 1});
	begin('b', 'v1', {attempt: 2});
	await nextTurn();
	release();
	await nextTurn();
	await pass(1000);
	const after = startHost(createFaultyOriginStore(memory));
	after.origins.list(endpointsOf('v1', 'v2'));
	const found = await after.origins.findOrigin('b', {services: ['s'], likely: 's', hasEvents: true});
	t.is(found.type === 'known' ? found.origin.version : found.type, 'v1');
});

test('a version that came while the store was away is not named once it is back, unless a further stream goes there', async t => {
	const {origins, send, pass, memory, storedVersions, storedKeys} = startHost();
	origins.list(endpointsOf('v1'));
	await send('a', 'v1');
	memory.faults.isDown = true;
	origins.list(endpointsOf('v1', 'v2'));
	await send('b', 'v2');
	await pass(boundMs);
	t.is(origins.preferredVersion('s'), 'v1');
	memory.faults.isDown = false;
	await pass(1000);
	await pass(1000);
	t.deepEqual(storedVersions(), [{service: 's', base: 'v1', versions: ['v1', 'v2']}]);
	t.deepEqual(storedKeys(), ['b']);
	t.is(origins.preferredVersion('s'), undefined);
});
