import {connect, type Socket} from 'node:net';
import {splitAddress} from '@deckwheel/core';

/** Opens a connection to the endpoint at `address`, an `ip:port`. The socket is destroyed when the connection fails. */
export const openSocket = (address: string): Socket => {
	const socket = connect({...splitAddress(address), noDelay: true});
	// When a reset arrives together with data, libuv reports an ordinary end of the connection (it takes a hang-up after
	// a short read for one). A socket that was reset has no remote address any more, which tells the two apart.
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
