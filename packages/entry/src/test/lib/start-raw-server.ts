import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';

/** Starts a server at a free port that writes whatever a test wants once the first bytes of a request came. */
export const startRawServer = async (respond: (socket: Socket) => void): Promise<Server> => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			respond(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
};
