/** Guards against a proof of a stranger that ends the host: as many characters as a proof has, and more bytes. */
import {once} from 'node:events';
import test from 'ava';
import {Packr} from 'msgpackr';
import {WebSocket} from 'ws';
import {isEqualProof} from '../lib/is-equal-proof.js';
import {openMeshAs} from './lib/open-mesh-as.js';

const proof = 'a'.repeat(64);

test('proofs with equally many characters and unequally many bytes are equal, or cannot be compared', t => {
	t.false(isEqualProof('\u00E9'.repeat(64), proof));
	t.false(isEqualProof('a', proof));
	t.true(isEqualProof(proof, proof));
});

test('a stranger whose proof has letters beyond ASCII ends the host', async t => {
	const mesh = await openMeshAs('h#1');
	t.teardown(mesh.close);
	const packr = new Packr({useRecords: false});
	const socket = new WebSocket(`ws://127.0.0.1:${mesh.port}`);
	socket.once('message', () => {
		socket.send(packr.pack({
			type: 'prove', version: 1, identity: {incarnation: 'x', hall: 'a'}, nonce: 'n'.repeat(32), proof: '\u00E9'.repeat(64),
		}));
	});
	const [code] = await once(socket, 'close') as [number];
	t.is(code, 1008);
});
