/** Guards against an answer of a host without end, which fills the memory of the operator's machine. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import test from 'ava';
import {z} from 'zod';
import {askHost} from '../lib/ask-host.js';

/** What the tool reads at most, with what the kernel and the two processes may hold of a connection on which nothing is read any more, in bytes. */
const maxBytes = 24 * 1024 * 1024;

test('a host\'s answer without end is held until its time is over', async t => {
	process.env.DECKWHEEL_TOKEN = 't';
	let sentBytes = 0;
	const server = createServer((_req, res) => {
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
			server.emit('sent');
		});
		send();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const sent = once(server, 'sent');
	const result = await askHost(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, '/status', z.unknown());
	await sent;
	t.deepEqual(result, {ok: false, error: `the host's answer is longer than ${16 * 1024 * 1024} bytes`});
	t.true(sentBytes <= maxBytes);
});
