import {connect, type Socket} from 'node:net';
import {splitAddress} from '@deckwheel/core';

/** Opens a connection to an endpoint at an `ip:port`. A connection that fails is destroyed. */
export const openSocket = (address: string): Socket => {
	const socket = connect({...splitAddress(address), noDelay: true});
	// A reset that comes together with data is reported as an ordinary end (libuv takes a hang-up after a short read
	// for one). A socket that was reset has no peer any more.
	socket.prependListener('end', () => {
		if (socket.remoteAddress === undefined) {
			socket.emit('error', new Error('ECONNRESET'));
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	return socket;
};
