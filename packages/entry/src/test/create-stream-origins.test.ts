import test from 'ava';
import type {ListedEndpoint} from '../adapter/listed-endpoint.js';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {createStreamOrigins} from '../lib/stream-origins/create-stream-origins.js';
import {scheduleByTimer} from '../lib/host/schedule-by-timer.js';
import {versionMemoryMs} from '../lib/stream-origins/version-memory-ms.js';
import {createMemoryOriginStore} from './lib/memory-origin-store.js';

const peersOf = (halls: number, perHall: number): readonly ListedPeer[] => Array.from({length: halls * perHall}, (_, index) =>
	({holder: `h${index}`, address: `h${index}:1`, hall: `hall-${index % halls}`}));

const endpointsOf = (...versions: readonly string[]): readonly ListedEndpoint[] => versions.map(version => ({
	id: version, instance: version, address: `${version}:1`, hall: 'hall-0', serves: ['s'], slots: 1, isLeaving: false, version,
}));

/** Creates the origins of the first of some hosts, and counts the messages that it sends. */
const startOrigins = (peers: readonly ListedPeer[]) => {
	let time = 1000;
	let messages = 0;
	const store = createMemoryOriginStore();
	const origins = createStreamOrigins({
		host: 'h0',
		store,
		writesPerSecond: 400,
		listConfirmMs: 5000,
		schedule: scheduleByTimer,
		self: () => peers[0]!,
		others: () => peers.slice(1),
		async sendOrigins() {
			messages++;
			return {
				known: [], versions: [], isSettled: true, isStoreRead: false,
			};
		},
		counter: {increment: () => undefined},
		now: () => time,
		resumedAt: () => Number.NEGATIVE_INFINITY,
		elapsed: () => time,
	});
	const send = async (key: string): Promise<void> => origins.noteSent({
		key, origin: {service: 's', version: 'v1', attempt: 1}, keepUntil: time + 30_000, isTakeUp: false,
	});
	return {
		origins,
		send,
		messages: () => messages,
		storeCalls: store.calls,
		pass(ms: number) {
			time += ms;
		},
	};
};

test('a stream costs messages while its service has one version', async t => {
	const {origins, send, messages} = startOrigins(peersOf(3, 3));
	origins.list(endpointsOf('v1', 'v1'));
	await send('a');
	origins.list(endpointsOf('v1'));
	await send('b');
	t.is(messages(), 0);
});

for (const [halls, perHall] of [[3, 3], [8, 375]] as const) {
	test(`a stream costs more than two messages for each hall with ${halls * perHall} hosts`, async t => {
		const {origins, send, messages} = startOrigins(peersOf(halls, perHall));
		origins.list(endpointsOf('v1', 'v2'));
		await send('a');
		t.true(messages() <= 2 * halls);
	});
}

test('streams are told long after the last endpoint of the other version has gone', async t => {
	const {origins, send, messages, pass} = startOrigins(peersOf(3, 3));
	origins.list(endpointsOf('v1', 'v2'));
	origins.list(endpointsOf('v2'));
	pass(versionMemoryMs + 1);
	await send('a');
	t.is(messages(), 0);
});

test('a whole stream is told when a second version comes', async t => {
	const {origins, send, messages} = startOrigins(peersOf(1, 3));
	origins.list(endpointsOf('v1'));
	await send('a');
	origins.noteWhole('a');
	origins.list(endpointsOf('v1', 'v2'));
	t.is(messages(), 0);
});

test('a host that has just started refuses a take-up because it cannot read the store, though a peer that was up before knows of one version', async t => {
	for (const isSettled of [true, false]) {
		const store = createMemoryOriginStore();
		store.faults.isDown = true;
		const [self, ...others] = peersOf(1, 3);
		const origins = createStreamOrigins({
			host: 'h0',
			store,
			writesPerSecond: 400,
			listConfirmMs: 5000,
			schedule: scheduleByTimer,
			self: () => self!,
			others: () => others,
			sendOrigins: async () => ({
				known: [], versions: [], isSettled, listAgeMs: 0, isStoreRead: false,
			}),
			counter: {increment: () => undefined},
			now: () => 1000,
			resumedAt: () => Number.NEGATIVE_INFINITY,
			elapsed: () => 1000,
		});
		origins.list(endpointsOf('v1'));
		const found = await origins.findOrigin('a', {services: ['s'], likely: 's', hasEvents: true});
		t.is(found.type, isSettled ? 'single' : 'unreadable');
	}
});
