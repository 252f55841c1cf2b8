/** Guards against a response of the platform without end, which fills the host that holds it. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {connectPlatform} from '../connect-platform.js';

const mib = 1024 * 1024;

/** What a host reads at most, with what the kernel and the two processes may hold of a connection on which nothing is read any more, in bytes. */
const maxBytes = 24 * mib;

const sendEndless = async (res: ServerResponse): Promise<number> => new Promise(resolve => {
	let sentBytes = 0;
	const send = (): void => {
		sentBytes += 65_536;
		// The end of the trial where nothing bounds it.
		if (sentBytes > 3 * maxBytes) {
			res.destroy();
		} else if (!res.destroyed) {
			res.write(Buffer.alloc(65_536, 'a'), () => {
				setImmediate(send);
			});
		}
	};

	res.on('error', () => undefined);
	res.on('close', () => {
		resolve(sentBytes);
	});
	send();
});

const startPlatform = async (t: ExecutionContext, respond: (res: ServerResponse) => void) => {
	const server = createServer((_req, res) => {
		respond(res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return connectPlatform(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
};

for (const call of ['get', 'list', 'put', 'watch', 'hosts'] as const) {
	test(`a response without end is held until its call times out (${call})`, async t => {
		let sent: Promise<number> | undefined;
		const platform = await startPlatform(t, res => {
			sent = sendEndless(res);
		});
		const outcomes = {
			get: async () => platform.get('k'),
			list: async () => platform.list('k'),
			put: async () => platform.put('k', 1, 2),
			watch: async () => platform.watch('k', 1, new AbortController().signal),
			hosts: async () => platform.hosts(),
		};
		t.deepEqual(await outcomes[call](), {ok: false, error: 'unknown'});
		t.true(await sent! <= maxBytes);
	});
}

test('a large response is lost', async t => {
	const value = 'a'.repeat(8 * mib);
	const platform = await startPlatform(t, res => {
		res.end(JSON.stringify({key: 'k', version: 3, value}));
	});
	const result = await platform.get('k');
	t.true(result.ok && result.value.value === value);
});
