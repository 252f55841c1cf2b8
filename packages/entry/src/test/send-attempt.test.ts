import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import test from 'ava';
import {judgeEndpoint} from '../lib/request/judge-endpoint.js';
import {readWholeBody} from './lib/read-whole-body.js';
import {sendOneAttempt} from './lib/send-one-attempt.js';
import {startRawServer} from './lib/start-raw-server.js';

test('a response without a length whose connection is reset is not complete', async t => {
	let reset: () => void = () => undefined;
	const server = await startRawServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n\r\npart');
		reset = () => {
			socket.resetAndDestroy();
		};
	});
	const result = await sendOneAttempt(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type, 'answered');
	if (result.type === 'answered') {
		const body = readWholeBody(result.response);
		await once(result.response, 'data');
		reset();
		t.is(await body, undefined);
	}
});

test('a response without a length whose connection is reset together with its last bytes is not complete', async t => {
	const server = await startRawServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n\r\npart', () => {
			socket.resetAndDestroy();
		});
	});
	const result = await sendOneAttempt(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type === 'answered' ? await readWholeBody(result.response) : undefined, undefined);
});

test('a response without a length is complete when its connection ends normally', async t => {
	const server = await startRawServer(socket => {
		socket.end('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n\r\nall');
	});
	const result = await sendOneAttempt(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type, 'answered');
	if (result.type === 'answered') {
		const body = await readWholeBody(result.response);
		t.is(new TextDecoder().decode(body), 'all');
	}
});

test('a response that names another request is not taken for the response to this one', async t => {
	const server = await startRawServer(socket => {
		socket.end('HTTP/1.1 200 OK\r\nx-id: other\r\nx-stamp: s\r\ncontent-length: 2\r\n\r\nno');
	});
	const result = await sendOneAttempt(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type, 'lost');
});

test('a refused connection means that the request was not sent', async t => {
	const server = await startRawServer(() => undefined);
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	const {type} = await sendOneAttempt(`127.0.0.1:${port}`);
	t.is(type, 'unsent');
});

test('a request that nobody wants any more once it has its connection is sent', async t => {
	let receivedBytes = 0;
	let noteClosed: () => void;
	const closed = new Promise<void>(resolve => {
		noteClosed = resolve;
	});
	const server = createServer(socket => {
		socket.on('data', (bytes: Uint8Array) => {
			receivedBytes += bytes.length;
		});
		socket.on('close', noteClosed);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const answers = [true, false];
	const {type} = await sendOneAttempt(`127.0.0.1:${(server.address() as AddressInfo).port}`, {isWanted: () => answers.shift() ?? false});
	await closed;
	t.is(type, 'unsent');
	t.is(receivedBytes, 0);
});

test('a 421 from another process at the address means that the endpoint is gone, not that it refuses the request', async t => {
	const server = await startRawServer(socket => {
		socket.end('HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n');
	});
	const result = await sendOneAttempt(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	server.close();
	t.is(result.type, 'misdirected');
	const judged = judgeEndpoint({end: 'misdirected', isOver: false, isOverloaded: true});
	t.is(judged, 'gone');
});
