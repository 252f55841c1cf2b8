/**
Guards against callers whose large bodies together take more memory than the host's machine has. Each may be as large as the configuration allows; a host
that reads all of them ends, and with it every request of its other callers.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, request, type IncomingMessage} from 'node:http';
import {json} from 'node:stream/consumers';
import test, {type ExecutionContext} from 'ava';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

const bytesPerMb = 1_000_000;

/** The room of a host for large bodies where the memory of its machine is not stated, in bytes. */
const roomBytes = 16 * bytesPerMb;

type Reply = {readonly status: number; readonly retryAfter: string | undefined; readonly body: unknown};

/** Sends a whole request to a host at `address` over a connection that is kept, and reads the reply. */
const call = async (address: string, id: string, body: Uint8Array): Promise<Reply> => {
	const [host, port] = address.split(':');
	const req = request({
		host, port, method: 'POST', path: '/', agent: new Agent({keepAlive: true}), headers: {
			host: 'fleet', [headerNames.requestId]: id, [headerNames.apiKey]: 'key', 'content-length': body.length,
		},
	});
	req.end(body);
	const [res] = await once(req, 'response') as [IncomingMessage];
	return {status: res.statusCode!, retryAfter: res.headers['retry-after'], body: await json(res)};
};

/** Starts a host before an endpoint that answers large bodies when it is told to, with their size, and small ones at once. */
const startHostOfLargeBodies = async (t: ExecutionContext, maxBodyBytes: number) => {
	const held: Array<() => void> = [];
	let noteHeld: () => void = () => undefined;
	const endpoint = await startEndpoint('e0', (_req, res) => {
		const {body} = endpoint.seen.at(-1)!;
		const answer = (): void => {
			res.end(JSON.stringify({bytes: body.length}));
		};

		if (body.length < 1000) {
			answer();
		} else {
			held.push(answer);
			noteHeld();
		}
	});
	const host = await startHost(createMemoryRightsStore());
	host.entry.configure(makeConfig({limits: {maxBodyBytes, headerTimeoutMs: 60_000, idleTimeoutMs: 60_000}}));
	host.entry.listEndpoints([endpoint.listed]);
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	return {
		...host,
		held: () => held.length,
		onHeld(listener: () => void) {
			noteHeld = listener;
		},
		answerAll() {
			for (const answer of held.splice(0)) {
				answer();
			}
		},
	};
};

test('large bodies of many callers are all held, beyond the room of the host', async t => {
	const callers = 8;
	const bytes = 6 * bytesPerMb;
	const host = await startHostOfLargeBodies(t, 10 * bytesPerMb);
	let refused = 0;
	let noteSettled: () => void;
	const settled = new Promise<void>(resolve => {
		noteSettled = resolve;
	});
	const check = (): void => {
		if (refused + host.held() === callers) {
			noteSettled();
		}
	};

	host.onHeld(check);
	const replies = Promise.all(Array.from({length: callers}, async (_, index) => {
		const reply = await call(host.callers, `large-${index}`, Buffer.alloc(bytes, 'a'));
		refused += reply.status === 503 ? 1 : 0;
		check();
		return reply;
	}));
	await settled;
	const held = host.held();
	t.true(held >= 1 && held * bytes <= roomBytes, `${held} held`);

	const small = await call(host.callers, 'small', Buffer.from('a'));
	t.deepEqual([small.status, small.body], [200, {bytes: 1}], 'a small body is refused for large ones');
	host.answerAll();
	const ended = await replies;
	t.deepEqual(ended.filter(({status}) => status === 200).map(({body}) => body), Array.from({length: held}, () => ({bytes})));
	const refusals = ended.filter(({status}) => status === 503);
	t.is(refusals.length, callers - held);
	for (const {retryAfter, body} of refusals) {
		t.truthy(retryAfter);
		t.like(body, {error: {code: 'host_overloaded', ran: 'not_run'}});
	}

	const lines = host.events.filter(({event}) => event === 'request_refused');
	t.is(lines.length, callers - held);
	for (const {fields} of lines) {
		t.like(fields, {
			code: 'host_overloaded', ran: 'not_run', cause: 'bodies', max_bytes: roomBytes,
		});
		t.true(Number(fields.bytes) > 0);
	}

	// The room of those that ended is free again.
	const next = call(host.callers, 'next', Buffer.alloc(bytes, 'a'));
	host.onHeld(host.answerAll);
	t.like(await next, {status: 200, body: {bytes}});
});

test('a body that is larger than the room of the host is refused though no other is held', async t => {
	const host = await startHostOfLargeBodies(t, 2 * roomBytes);
	host.onHeld(host.answerAll);
	const bytes = roomBytes + bytesPerMb;
	t.like(await call(host.callers, 'large', Buffer.alloc(bytes, 'a')), {status: 200, body: {bytes}});
	t.like(await call(host.callers, 'again', Buffer.alloc(bytes, 'a')), {status: 200, body: {bytes}});
});
