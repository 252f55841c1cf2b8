/**
Guards against processes that end by an `error` event of the connection that a host opens to itself: Node.js emits two where a connection cannot be reset
because its end is being sent.
*/
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {createServer, type Socket, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {startAcceptProbe} from '../lib/own-health/start-accept-probe.js';

/** Where Node.js tells of each connection that this process opens. */
const openedChannel = 'net.client.socket';

test.serial('a second error of a host\'s connection to itself has no listener', async t => {
	const opened: Socket[] = [];
	const note = (message: unknown): void => {
		opened.push((message as {readonly socket: Socket}).socket);
	};

	subscribe(openedChannel, note);
	t.teardown(() => {
		unsubscribe(openedChannel, note);
	});
	const server = createServer(accepted => {
		accepted.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const ends: Array<number | undefined> = [];
	startAcceptProbe({
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		onEnd(waitedMs) {
			ends.push(waitedMs);
		},
		now: () => 0,
	});
	const [client] = opened as [Socket];
	client.emit('error', new Error('reset EINVAL'));
	t.notThrows(() => client.emit('error', new Error('read ECONNRESET')));
	t.deepEqual(ends, [undefined]);
});
