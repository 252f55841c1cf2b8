import type {Socket} from 'node:net';

/** Makes a connection end with an error when it is reset, and be destroyed when it fails. Returns the same socket. */
export const guardSocket = (socket: Socket): Socket => {
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
