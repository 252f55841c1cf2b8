/** Guards against a large response that is ready, and is lost at the deadline since its caller reads more slowly than it comes. */
import {once} from 'node:events';
import {connect} from 'node:net';
import test from 'ava';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {headerNames} from './lib/header-names.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/** More than fits into the operating system's buffers on the way to a caller, in bytes. */
const responseBytes = 32 * 1024 * 1024;

const timeoutMs = 4000;

const countZeros = (bytes: Uint8Array): number => bytes.filter(byte => byte === 0).length;

test('a response that is ready is cut at its deadline since its caller reads slowly', async t => {
	const clock = createManualClock();
	const host = await startHost(createMemoryRightsStore(), {schedule: clock.schedule, now: clock.now});
	const endpoint = await startEndpoint('e', (_req, res) => {
		res.end(new Uint8Array(responseBytes));
	});
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	host.entry.configure(makeConfig({routes: [makeRoute({name: 'plain', kind: 'once', timeoutMs})]}));
	host.entry.listEndpoints([endpoint.listed]);
	const [ip, port] = host.callers.split(':');
	const socket = connect(Number(port), ip);
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.write(['POST /p HTTP/1.1', 'host: fleet', `${headerNames.requestId}: r`, `${headerNames.apiKey}: key`, 'content-length: 0', '', ''].join('\r\n'));
	// Heads have no byte of zero, and bodies no other.
	let bytes = 0;
	socket.on('data', chunk => {
		bytes += countZeros(chunk);
		if (bytes === responseBytes) {
			socket.destroy();
		}
	});
	await once(socket, 'data');
	socket.pause();
	clock.advance(timeoutMs + 1);
	const closed = once(socket, 'close');
	socket.resume();
	await closed;
	t.is(bytes, responseBytes);
});
