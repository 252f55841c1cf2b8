import {Socket} from 'node:net';
import test from 'ava';
import {createIdleSockets} from '../lib/sending/create-idle-sockets.js';

/** A socket without a connection that reports itself as open. */
const createOpenSocket = (): Socket => {
	const socket = new Socket();
	Object.defineProperties(socket, {writable: {value: true}, destroyed: {value: false}});
	return socket;
};

test('a connection that was idle for five seconds of elapsed time, suspension of the host included, is not reused', t => {
	let elapsed = 0;
	const idleSockets = createIdleSockets(() => elapsed);
	const socket = createOpenSocket();
	idleSockets.add('e', socket);
	elapsed += 3000;
	t.is(idleSockets.take('e'), socket);
	idleSockets.add('e', socket);
	elapsed += 5000;
	t.is(idleSockets.take('e'), undefined);
});
