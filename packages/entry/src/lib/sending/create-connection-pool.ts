import type {Agent, ClientRequest} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionPool} from './connection-pool.js';
import {createIdleSockets} from './create-idle-sockets.js';
import {openSocket} from './open-socket.js';

/** The default port of HTTP, which node:http leaves out of the `Host` header. */
const httpPort = 80;

/**
Creates a pool of keep-alive connections to endpoints, which is empty.

The pool replaces the agent of node:http, which does not close an idle connection when bytes arrive on it (`createIdleSockets` does).

@param elapsed Elapsed ms, the time in which this host is suspended included.
*/
export const createConnectionPool = (elapsed: () => number): ConnectionPool => {
	const idleSockets = createIdleSockets(elapsed);

	const openConnection = (endpoint: string, address: string): Socket => {
		const socket = openSocket(address);
		socket.on('free', () => {
			// Node:http delivers what happens on a socket to the request in `_httpMessage`; that request has ended.
			(socket as Socket & {_httpMessage?: unknown})._httpMessage = undefined;
			idleSockets.add(endpoint, socket);
		});
		socket.on('close', () => {
			idleSockets.remove(endpoint, socket);
		});
		return socket;
	};

	return {
		createAgent: (endpoint, address) => ({
			keepAlive: true,
			protocol: 'http:',
			defaultPort: httpPort,
			options: {},
			addRequest(request: ClientRequest) {
				const idleSocket = idleSockets.take(endpoint);
				request.reusedSocket = idleSocket !== undefined;
				request.onSocket(idleSocket ?? openConnection(endpoint, address));
			},
		}) as unknown as Agent,
		closeIdle: idleSockets.close,
		keepOnly: idleSockets.keepOnly,
	};
};
