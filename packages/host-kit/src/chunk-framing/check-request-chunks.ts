import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import {createRequestReader} from './create-request-reader.js';

/**
Destroys each request to a server, with its connection, where the framing of its chunks is invalid, as `checkChunks` does with responses. To be
called when the server has its listener for requests.
*/
export const checkRequestChunks = (server: Server): void => {
	const readers = new WeakMap<Socket, ReturnType<typeof createRequestReader>>();
	server.on('connection', socket => {
		const reader = createRequestReader();
		readers.set(socket, reader);
		socket.prependListener('data', reader.readBytes);
	});
	server.prependListener('request', (req: IncomingMessage) => {
		readers.get(req.socket)?.noteRequest(req);
	});
};
