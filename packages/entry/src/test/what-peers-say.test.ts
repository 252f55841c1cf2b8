/** Guards against replies of a peer that end this host: tickets that no header holds, and addresses that cannot be called. */
import test from 'ava';
import fc from 'fast-check';
import {openMesh} from '@deckwheel/mesh';
import {coordinatorSchema} from '../lib/request-limits/coordinator-schema.js';
import {tunnelReplySchema} from '../lib/tunnels/tunnel-reply-schema.js';
import {closedAddress} from './lib/closed-address.js';

const startMesh = async () => openMesh({
	self: {incarnation: 'h#1', hall: 'a'},
	secret: 's',
	listen: {host: '127.0.0.1', port: 0},
	handlers: {
		onRequest: async () => 'reply',
		onMessage: () => undefined,
	},
});

const spoiledText = fc.oneof(
	fc.string({unit: 'binary', maxLength: 20}),
	fc.tuple(fc.stringMatching(/^[\da-f]{4}$/), fc.constantFrom('', '\0', '\n', '\r\n', ' ', '\u00E9', '\u0159')).map(([text, end]) => `${text}${end}`),
);

test('a ticket that a reply may hold makes the opening of a tunnel fail with an error', async t => {
	const mesh = await startMesh();
	t.teardown(mesh.close);
	const address = await closedAddress();
	await fc.assert(fc.asyncProperty(spoiledText, async ticket => {
		const reply = tunnelReplySchema.safeParse({
			outcome: 'open', ticket, served: 0, spentMs: 0,
		});
		return !reply.success || await mesh.tunnels.open(address, reply.data.ticket!, 1000) === undefined;
	}), {numRuns: 100, seed: 71});
	t.is(tunnelReplySchema.safeParse({
		outcome: 'open', ticket: 'ab12', served: 0, spentMs: 0,
	}).success, true);
});

test('an address that a message may hold makes a request to it fail with an error', async t => {
	const mesh = await startMesh();
	t.teardown(mesh.close);
	const anyAddress = fc.oneof(spoiledText, fc.constantFrom('127.0.0.1:70000', '127.0.0.1', ':1', '[::1]:1', 'a b:1', '127.0.0.1:1/x', '127.0.0.1:-1', ''));
	await fc.assert(fc.asyncProperty(anyAddress, async address => {
		const coordinator = coordinatorSchema.safeParse({holder: 'h#2', address, hall: 'a'});
		if (!coordinator.success) {
			return true;
		}

		const {ok} = await mesh.request(coordinator.data.address, {}, 100);
		return !ok;
	}), {numRuns: 100, seed: 71});
	t.true(coordinatorSchema.safeParse({holder: 'h#2', address: '127.0.0.1:1', hall: 'a'}).success);
});
