/** Guards against a peer that does not read what a host sends, so that all of it waits in the host's memory. */
import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import {maxBufferedBytes} from '../lib/max-buffered-bytes.js';
import {openMesh} from '../open-mesh.js';
import {addressOf} from './lib/address-of.js';
import {openMeshAs} from './lib/open-mesh-as.js';

const frameBytes = 1_000_000;

/** Twice as many frames as may wait. */
const frames = 2 * maxBufferedBytes / frameBytes;

/** Longer than any test: no verdict rests on the end of a request's time. */
const endlessMs = 600_000;

/** Opens a mesh that answers no request before all have come, and then all at once, before the peer can read any. */
const openLateMesh = async (t: ExecutionContext, reply: unknown) => {
	let arrived = 0;
	let release: () => void;
	const released = new Promise<void>(resolve => {
		release = resolve;
	});
	const mesh = await openMesh({
		self: {incarnation: 'edge-2#a', hall: 'h'},
		secret: 'secret',
		listen: {host: '127.0.0.1', port: 0},
		handlers: {
			async onRequest(_from, body) {
				if (body === 'again') {
					return 'again';
				}

				arrived++;
				if (arrived === frames) {
					release();
				}

				await released;
				return reply;
			},
			onMessage: () => undefined,
		},
	});
	t.teardown(mesh.close);
	return mesh;
};

const openAsker = async (t: ExecutionContext) => {
	const asker = await openMeshAs('edge-1#a');
	t.teardown(asker.close);
	return asker;
};

test('replies wait for a peer that does not read them, without a bound', async t => {
	const [mesh, asker] = await Promise.all([openLateMesh(t, Buffer.alloc(frameBytes)), openAsker(t)]);
	const address = addressOf(mesh);
	const outcomes = await Promise.all(Array.from({length: frames}, async () => asker.request(address, 'ask', endlessMs)));
	t.true(outcomes.some(({ok}) => !ok));
	t.deepEqual(await asker.request(address, 'again', endlessMs), {ok: true, value: 'again'}, 'the next link works');
});

test('frames wait for a link that is not open yet, without a bound', async t => {
	const [mesh, asker] = await Promise.all([openLateMesh(t, 'late'), openAsker(t)]);
	const address = addressOf(mesh);
	const body = Buffer.alloc(frameBytes);
	const outcomes = await Promise.all(Array.from({length: frames}, async () => asker.request(address, body, endlessMs)));
	t.true(outcomes.every(outcome => !outcome.ok && outcome.error === 'unreachable'));
	t.deepEqual(await asker.request(address, 'again', endlessMs), {ok: true, value: 'again'}, 'the next link works');
});
