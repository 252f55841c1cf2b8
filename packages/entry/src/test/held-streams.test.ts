/** Guards against events that are lost because their endpoint breaks off while it is still being told where the stream began. */
import {once} from 'node:events';
import {
	createServer, get, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {relayStream} from '../lib/relaying/relay-stream.js';

const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

const listen = async (t: ExecutionContext, serve: (req: IncomingMessage, res: ServerResponse) => void): Promise<number> => {
	const server = createServer(serve);
	t.teardown(() => {
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};

const open = async (port: number): Promise<IncomingMessage> => {
	const [response] = await once(get({port, host: '127.0.0.1', agent: false}), 'response') as [IncomingMessage];
	return response;
};

for (const [ending, expected] of [['breaks off', 'broken'], ['ends', 'whole']] as const) {
	test(`events are lost where the endpoint ${ending} before they may be relayed, or reach the caller too early`, async t => {
		const endpoint = await listen(t, (_req, res) => {
			res.write(events, () => {
				if (ending === 'ends') {
					res.end();
				} else {
					res.destroy();
				}
			});
		});
		let letPass: (() => void) | undefined;
		const ready = new Promise<void>(resolve => {
			letPass = resolve;
		});
		let relayed: Promise<unknown> | undefined;
		let isPassed = false;
		const host = await listen(t, (_req, res) => {
			const relay = async (): Promise<unknown> => {
				const response = await open(endpoint);
				response.on('error', () => undefined);
				response.on('close', () => {
					isPassed = true;
					letPass!();
				});
				const end = await relayStream(response, res, {
					lastId: undefined,
					resumedAfter: undefined,
					ready,
					signal: new AbortController().signal,
					onChunk: () => undefined,
					beforeWrite() {
						t.true(isPassed);
					},
					onInvalid: () => undefined,
				});
				res.destroy();
				return end;
			};

			relayed = relay();
		});
		const answer = await open(host);
		let text = '';
		answer.setEncoding('utf8');
		answer.on('error', () => undefined);
		answer.on('data', (chunk: string) => {
			text += chunk;
		});
		await new Promise(resolve => {
			answer.on('close', resolve);
		});
		t.is(text, events);
		t.like(await relayed, {type: expected, count: 2, lastId: '2'});
	});
}
