import {Socket} from 'node:net';
import test from 'ava';
import {createIdleSockets} from '../lib/sending/create-idle-sockets.js';

/** A connection that looks open. */
const openLooking = (): Socket => {
	const socket = new Socket();
	Object.defineProperties(socket, {writable: {value: true}, destroyed: {value: false}});
	return socket;
};

test('a connection that was idle for seconds is not used, be they steady or spent suspended', t => {
	let elapsed = 0;
	const idle = createIdleSockets(() => elapsed);
	const kept = openLooking();
	idle.keep('e', kept);
	elapsed += 3000;
	t.is(idle.take('e'), kept);
	idle.keep('e', kept);
	elapsed += 5000;
	t.is(idle.take('e'), undefined);
});
