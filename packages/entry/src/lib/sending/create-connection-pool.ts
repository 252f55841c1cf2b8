import type {Agent, ClientRequest} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionPool} from './connection-pool.js';
import {createIdleSockets} from './create-idle-sockets.js';
import {openSocket} from './open-socket.js';

/** The default port of the protocol, which node:http leaves out of a `Host` header. */
const httpPort = 80;

/**
Keeps connections to endpoints.

node:http's own agent is not used, since bytes that arrive on an idle connection have to end it (`createIdleSockets`).

@param elapsed Elapsed ms.
*/
export const createConnectionPool = (elapsed: () => number): ConnectionPool => {
	const idle = createIdleSockets(elapsed);

	const open = (endpoint: string, address: string): Socket => {
		const socket = openSocket(address);
		socket.on('free', () => {
			// Node:http would hand what comes next to the request that is over.
			(socket as Socket & {_httpMessage?: unknown})._httpMessage = undefined;
			idle.keep(endpoint, socket);
		});
		socket.on('close', () => {
			idle.drop(endpoint, socket);
		});
		return socket;
	};

	return {
		agentFor: (endpoint, address) => ({
			keepAlive: true,
			protocol: 'http:',
			defaultPort: httpPort,
			options: {},
			addRequest(request: ClientRequest) {
				const kept = idle.take(endpoint);
				request.reusedSocket = kept !== undefined;
				request.onSocket(kept ?? open(endpoint, address));
			},
		}) as unknown as Agent,
		closeIdle: idle.closeOf,
		keepOnly: idle.keepOnly,
	};
};
