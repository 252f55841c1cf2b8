/** Guards against answers of engines and services without end, which fill the host that holds them before they are whole. */
import test, {type ExecutionContext} from 'ava';
import {createEndpointPolls} from '../lib/placing/create-endpoint-polls.js';
import {readEngineStream} from '../lib/running/streams/read-engine-stream.js';
import {callRaw} from './lib/call-raw.js';
import {maxBytesUnderWay, sendEndless} from './lib/send-endless.js';
import {startRawServer} from './lib/start-raw-server.js';
import {startTestGateway} from './lib/start-test-gateway.js';

const mib = 1024 * 1024;

/** Starts a server that sends a head and then bytes without end. `sent`: how many it had sent when the connection closed. */
const startEndless = async (t: ExecutionContext, start: string, trialBytes = 8 * maxBytesUnderWay) => {
	let resolveSent: (bytes: number | Promise<number>) => void;
	const sent = new Promise<number>(resolve => {
		resolveSent = resolve;
	});
	const server = await startRawServer((_line, socket) => {
		resolveSent(sendEndless(socket, start, trialBytes));
	});
	t.teardown(server.close);
	return {url: server.url, sent};
};

const ok = 'HTTP/1.1 200 OK\r\n';

for (const [framing, head] of Object.entries({
	'without a length': '\r\n',
	'in one chunk': 'transfer-encoding: chunked\r\n\r\n7fffffff\r\n',
	'with a length': 'content-length: 2147483647\r\n\r\n',
})) {
	test(`a service's answer without end is held until the caller's deadline (${framing})`, async t => {
		const {url, sent} = await startEndless(t, `${ok}${head}`);
		const gateway = await startTestGateway(url);
		t.teardown(gateway.close);
		const caller = await callRaw(gateway.port, 'POST /services/records/notes HTTP/1.1', ['connection: close', 'content-length: 0'], '');
		const text = await caller.received();
		t.is(text.split('\r\n')[0], 'HTTP/1.1 502 Bad Gateway');
		t.true(await sent <= (16 * mib) + maxBytesUnderWay);
	});
}

test('a large answer of a service is lost', async t => {
	const body = 'a'.repeat(8 * mib);
	const server = await startRawServer((_line, socket) => {
		socket.end(`${ok}content-length: ${body.length}\r\n\r\n${body}`);
	});
	const gateway = await startTestGateway(server.url);
	t.teardown(async () => {
		server.close();
		await gateway.close();
	});
	const caller = await callRaw(gateway.port, 'POST /services/records/notes HTTP/1.1', ['connection: close', 'content-length: 0'], '');
	const text = await caller.received();
	t.is(text.split('\r\n')[0], 'HTTP/1.1 200 OK');
	t.true(text.endsWith(body));
});

for (const [what, start] of [['an event', 'data: '], ['a field without a name', '']] as const) {
	test(`${what} of an engine's stream without end is held until the engine is silent`, async t => {
		const {url, sent} = await startEndless(t, `${ok}content-type: text/event-stream\r\n\r\n${start}`);
		const end = await readEngineStream({
			method: 'POST', url, headers: {}, body: '', onEvent: () => undefined,
		});
		t.deepEqual(end, {type: 'lost', told: undefined});
		t.true(await sent <= (32 * mib) + maxBytesUnderWay);
	});
}

test('a large event of an engine\'s stream is lost', async t => {
	const data = 'a'.repeat(17 * mib);
	const server = await startRawServer((_line, socket) => {
		socket.end(`${ok}content-type: text/event-stream\r\n\r\ndata: ${data}\n\n`);
	});
	t.teardown(server.close);
	const events: string[] = [];
	await readEngineStream({
		method: 'POST', url: server.url, headers: {}, body: '', onEvent(_event, text) {
			events.push(text);
		},
	});
	t.deepEqual(events.map(({length}) => length), [data.length]);
});

test('the body of an engine\'s refusal is read without end', async t => {
	const {url, sent} = await startEndless(t, 'HTTP/1.1 404 Not Found\r\n\r\n');
	const end = await readEngineStream({
		method: 'GET', url, headers: {}, onEvent: () => undefined,
	});
	t.deepEqual(end, {type: 'no_such_stream'});
	t.true(await sent <= mib + maxBytesUnderWay);
});

for (const report of ['load', 'cache'] as const) {
	test(`an endpoint's report without end is held until its time is over (${report})`, async t => {
		const {url, sent} = await startEndless(t, `${ok}\r\n`);
		const polls = createEndpointPolls({onLoad: () => undefined, onCached: () => undefined});
		await polls[report]('e', url);
		t.true(await sent <= mib + maxBytesUnderWay);
	});
}
