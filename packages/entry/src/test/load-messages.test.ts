import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {remainingPromptTokens} from '@deckwheel/routing';
import test from 'ava';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {defaultTimeouts} from '../default-timeouts.js';
import {startPeerTasks} from '../lib/host/start-peer-tasks.js';
import {createPeerRequestHandler} from '../lib/peers/create-peer-request-handler.js';
import {createMemoryOriginStore} from './lib/memory-origin-store.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';

const engine = {
	id: 'engine@1', instance: 'engine', address: '127.0.0.1:1', hall: 'h', serves: ['model'], slots: 16, isLeaving: false,
};

/** So many that a part of them is still pending when the reports of others are old. */
const promptTokens = 1_024_000;

test('hosts of a hall share their loads over real links', async t => {
	const directory = new Map<string, ListedPeer>();
	const hosts = Array.from({length: 5}, (_, index) => startPeerTasks({
		host: `edge-${index}`,
		hall: 'h',
		holder: `edge-${index}#a`,
		address: '127.0.0.1:0',
		rightsStore: createMemoryRightsStore(),
		originStore: createMemoryOriginStore(),
		endpointsConfirmMs: 5000,
		storeWritesPerSecond: 400,
		directory: {
			shareSecret: async () => 'secret',
			async register(self) {
				directory.set(self.holder, self);
				return true;
			},
			list: async () => [...directory.values()],
		},
		timeouts: defaultTimeouts,
		log: () => undefined,
		onLinkReplaced: () => undefined,
		onEndpointCrashed: () => undefined,
		tunnelling: {
			endpointOf: () => undefined, isLost: () => false, isBusy: () => false, isRunning: async () => false,
		},
		onLimitChanged: () => undefined,
		onEnded: () => undefined,
		now: () => performance.now(),
		elapsed: () => performance.now(),
	}));
	t.teardown(async () => {
		await Promise.all(hosts.map(async ({close}) => close()));
	});
	for (const {loadSharing} of hosts) {
		loadSharing.list([engine]);
		loadSharing.loads.noteSent(engine.id, promptTokens);
	}

	const hasTotals = ({loadSharing}: typeof hosts[0]): boolean => loadSharing.loads.loadOf(engine.id).open === hosts.length;
	while (!hosts.every(host => hasTotals(host))) {
		await sleep(20);
	}

	for (const {loadSharing} of hosts) {
		const {pendingPromptTokens, ageMs} = loadSharing.loads.loadOf(engine.id);
		t.is(pendingPromptTokens, promptTokens + remainingPromptTokens({tokens: 4 * promptTokens, ageMs: ageMs!, pace: 1}));
	}
});

// A peer of another version sends a message that cannot be read three times a second.
test('a load message that cannot be read gets no reply and is logged once a minute for each peer', async t => {
	let time = 0;
	const logged: unknown[] = [];
	const unasked = (): never => {
		throw new Error('not asked');
	};

	const replyTo = createPeerRequestHandler({
		holder: 'edge-1#a',
		log(event, fields) {
			logged.push(event, fields?.from);
		},
		now: () => time,
		lend: unasked,
		takeBack: unasked,
		answerChanges: unasked,
		answerPatch: unasked,
		answerSuspicions: unasked,
		answerPermit: unasked,
		answerLimits: unasked,
		answerLoad: unasked,
		answerOrigins: unasked,
		answerTunnel: unasked,
		answerReach: unasked,
		answerTunnelEnd: unasked,
	});
	for (; time < 60_000; time += 300) {
		t.is(await replyTo({incarnation: 'edge-2#a', hall: 'h'}, {type: 'load', wants: 'all', counts: ['one']}), undefined);
	}

	t.deepEqual(logged, ['peer_message_malformed', 'edge-2#a']);
	await replyTo({incarnation: 'edge-3#a', hall: 'h'}, {type: 'load'});
	await replyTo({incarnation: 'edge-2#a', hall: 'h'}, {type: 'load'});
	t.deepEqual(logged.slice(2), ['peer_message_malformed', 'edge-3#a', 'peer_message_malformed', 'edge-2#a']);
});
