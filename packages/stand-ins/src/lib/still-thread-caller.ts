import {connect} from 'node:net';
import {once} from 'node:events';
import {parentPort, workerData} from 'node:worker_threads';
import type {StillThreadCall} from './still-thread-call.js';

// The thread of a caller: connects, and on a message sends all bytes and closes its connection. It tells by `hasLeft` that it has.
const {address, bytes, isConnectedBefore, hasLeft} = workerData as StillThreadCall;
const [host, port] = address.split(':');

const open = async () => {
	const socket = connect(Number(port), host);
	await once(socket, 'connect');
	return socket;
};

const connected = isConnectedBefore ? await open() : undefined;
parentPort!.once('message', async () => {
	const socket = connected ?? await open();
	socket.end(bytes, () => {
		Atomics.store(hasLeft, 0, 1);
		Atomics.notify(hasLeft, 0);
	});
});
parentPort!.postMessage('connected');
