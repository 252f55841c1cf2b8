import test from 'ava';
import {openMesh} from '../open-mesh.js';
import {openMeshAs} from './lib/open-mesh-as.js';

test('guards against a reply without a value that costs the link, and the requests that wait on it', async t => {
	let release = (): void => undefined;
	const [requester, peer] = await Promise.all([openMeshAs('edge-1#a'), openMesh({
		self: {incarnation: 'edge-2#a', hall: 'h'},
		secret: 'secret',
		listen: {host: '127.0.0.1', port: 0},
		handlers: {
			onRequest: async (_from, body) => body === 'held'
				? new Promise(resolve => {
					release = () => {
						resolve('released');
					};
				})
				: undefined,
			onMessage: () => undefined,
		},
	})]);
	t.teardown(async () => {
		await Promise.all([requester.close(), peer.close()]);
	});
	const address = `127.0.0.1:${peer.port}`;
	const held = requester.request(address, 'held', 60_000);
	const empty = await requester.request(address, 'empty', 60_000);
	release();
	const value = await held;
	t.true(empty.ok, 'the reply without a value');
	t.true(value.ok, 'the request that waited');
});
