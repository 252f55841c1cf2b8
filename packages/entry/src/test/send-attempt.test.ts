import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'ava';
import {createConnectionPool} from '../lib/sending/create-connection-pool.js';
import {readResponseBody} from '../lib/relaying/read-response-body.js';
import {sendAttempt} from '../lib/sending/send-attempt.js';
import {judgeEndpoint} from '../lib/request/judge-endpoint.js';
import {headerNames} from './lib/header-names.js';

const answerWith = async (answer: (socket: Socket) => void) => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answer(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
};

const send = async (address: string) => sendAttempt({
	endpoint: {
		id: 'e1', instance: 'e1', address, hall: 'a', serves: ['s'], slots: 1, isLeaving: false,
	},
	id: 'r1',
	method: 'GET',
	path: '/',
	headers: [headerNames.requestId, 'r1'],
	body: new Uint8Array(),
	signal: new AbortController().signal,
	connectBy: performance.now() + 60_000,
	onConnect: () => undefined,
	onHead: () => undefined,
}, createConnectionPool(() => performance.now()), headerNames);

test('an answer without a length whose connection is reset is not whole', async t => {
	let reset: () => void = () => undefined;
	const server = await answerWith(socket => {
		socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n\r\npart');
		reset = () => {
			socket.resetAndDestroy();
		};
	});
	const result = await send(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type, 'answered');
	if (result.type === 'answered') {
		const answer = readResponseBody(result.response);
		await once(result.response, 'data');
		reset();
		t.is(await answer, undefined);
	}
});

test('nor if the reset comes together with its last bytes', async t => {
	const server = await answerWith(socket => {
		socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n\r\npart', () => {
			socket.resetAndDestroy();
		});
	});
	const result = await send(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type === 'answered' ? await readResponseBody(result.response) : undefined, undefined);
});

test('an answer without a length ends whole with its connection', async t => {
	const server = await answerWith(socket => {
		socket.end('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n\r\nall');
	});
	const result = await send(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type, 'answered');
	if (result.type === 'answered') {
		const answer = await readResponseBody(result.response);
		t.is(new TextDecoder().decode(answer), 'all');
	}
});

test('an answer that names another request is none', async t => {
	const server = await answerWith(socket => {
		socket.end('HTTP/1.1 200 OK\r\nx-id: other\r\nx-stamp: s\r\ncontent-length: 2\r\n\r\nno');
	});
	const result = await send(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type, 'lost');
});

test('a refused connection proves that nothing was sent', async t => {
	const server = await answerWith(() => undefined);
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	const {type} = await send(`127.0.0.1:${port}`);
	t.is(type, 'unsent');
});

test('that another process has the address is no refusal of the endpoint itself', async t => {
	const server = await answerWith(socket => {
		socket.end('HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n');
	});
	const result = await send(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type, 'misdirected');
	const judged = judgeEndpoint({end: 'misdirected', isOver: false, isOverloaded: true});
	t.is(judged, 'gone');
});
