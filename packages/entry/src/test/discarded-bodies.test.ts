/** Guards against bodies without an end that nobody wants, and that a host reads for ever: it discards the body of a response that says that the request did not run. */
import {Buffer} from 'node:buffer';
import {EventEmitter, once} from 'node:events';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {headerNames} from './lib/header-names.js';
import {sendOneAttempt} from './lib/send-one-attempt.js';
import {startRawServer} from './lib/start-raw-server.js';

const part = Buffer.alloc(1_000_000, 97);

/** More than the buffers of a connection take. */
const partCount = 100;

for (const [type, head] of [['not_run', `503 Service Unavailable\r\n${headerNames.notRun}: 1`], ['misdirected', '421 Misdirected Request']] as const) {
	test(`a body without an end is read for ever after a response that says that the request did not run: ${type}`, async t => {
		const news = new EventEmitter();
		const heard = once(news, 'end');
		const server = await startRawServer(socket => {
			let left = partCount;
			const writeOn = (): void => {
				left--;
				if (left === 0) {
					news.emit('end', 'all of it is read');
					socket.destroy();
				} else if (socket.writable) {
					socket.write(part, writeOn);
				}
			};

			socket.on('close', () => {
				news.emit('end', 'closed');
			});
			socket.write(`HTTP/1.1 ${head}\r\n${headerNames.requestId}: r1\r\n\r\n`, writeOn);
		});
		t.teardown(() => {
			server.close();
		});
		const result = await sendOneAttempt(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		t.is(result.type, type);
		t.deepEqual(await heard, ['closed']);
	});
}

test('a connection is closed after a response that says that the request did not run, though its body ends', async t => {
	let isClosed = false;
	const server = await startRawServer(socket => {
		socket.on('close', () => {
			isClosed = true;
		});
		t.teardown(() => {
			socket.destroy();
		});
		socket.write(`HTTP/1.1 503 Service Unavailable\r\n${headerNames.notRun}: 1\r\n${headerNames.requestId}: r1\r\ncontent-length: 5\r\n\r\nbusy.`);
	});
	t.teardown(() => {
		server.close();
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const result = await sendOneAttempt(address);
	t.is(result.type, 'not_run');
	// Another attempt takes long enough for the first connection to be closed.
	await sendOneAttempt(address);
	t.false(isClosed);
});
