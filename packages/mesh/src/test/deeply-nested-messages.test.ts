/** A message between hosts holds a value that is nested so deep that code which descends into it by recursion throws. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {codec} from '../lib/codec.js';
import {openMeshAs} from './lib/open-mesh-as.js';

const nested = (depth: number): unknown => JSON.parse('['.repeat(depth) + ']'.repeat(depth));

/** The bytes of a reply whose body is nested, as MessagePack: lists of one item. */
const replyBytes = (depth: number): Uint8Array => {
	const frame = codec.encode({type: 'reply', id: 1, body: []});
	return Buffer.concat([frame.subarray(0, -1), Buffer.alloc(depth, 0x91), frame.subarray(-1)]);
};

test('a deeply nested request or reply ends the host that sends it, or costs it the link', async t => {
	const [requester, peer] = await Promise.all([openMeshAs('edge-1#a'), openMeshAs('edge-2#a')]);
	t.teardown(async () => {
		await Promise.all([requester.close(), peer.close()]);
	});
	const address = `127.0.0.1:${peer.port}`;
	for (const depth of [100, 2000, 20_000, 1400, 500]) {
		const body = {a: nested(depth)};
		t.deepEqual(await requester.request(address, body, 60_000), {ok: true, value: depth < 200 ? body : undefined}, `${depth} deep`);
		t.notThrows(() => {
			requester.send(address, body);
		});
		t.deepEqual(await requester.request(address, {a: 1}, 60_000), {ok: true, value: {a: 1}}, `after ${depth} deep`);
	}
});

test('a deeply nested body of a peer reaches its handler', t => {
	t.is(codec.decode(replyBytes(100))?.type, 'reply');
	for (const depth of [300, 1000]) {
		t.deepEqual(codec.decode(replyBytes(depth)), {type: 'reply', id: 1, body: undefined}, `${depth} deep`);
	}

	for (const depth of [20_000, 1_000_000]) {
		t.is(codec.decode(replyBytes(depth)), undefined, `${depth} deep`);
	}
});
