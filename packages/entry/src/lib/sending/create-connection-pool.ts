import type {Agent, ClientRequest} from 'node:http';
import type {Socket} from 'node:net';
import {afterNextPoll} from '@deckwheel/core';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ConnectionPool} from './connection-pool.js';
import type {Connector} from './connector.js';
import {createIdleSockets} from './create-idle-sockets.js';
import {createQuietSockets} from './create-quiet-sockets.js';

type IdleSockets = ReturnType<typeof createIdleSockets>;

/** What an attempt asks and learns of its connection. */
type Sender = Parameters<ConnectionPool['createAgent']>[1];

/** The default port of HTTP, which node:http leaves out of the `Host` header. */
const httpPort = 80;

/** Ends a request that has no socket yet. Node:http waits for the agent to hand over a socket or an error, also after the request was destroyed. */
const failRequest = (request: ClientRequest, reason: string): void => {
	const {onSocket} = request as unknown as {readonly onSocket: (socket: undefined, error: Error) => void};
	onSocket.call(request, undefined, Object.assign(new Error(reason), {code: reason}));
};

/** Closes a connection after its request, so that it carries one only. */
const closeWhenFree = (socket: Socket): void => {
	socket.on('free', () => {
		socket.destroy();
	});
};

/** Reads all that has arrived, unless this host would know by now if the caller had left long ago. */
const readFromCaller = async (isCallerSeen: Sender['isCallerSeen']): Promise<void> => {
	if (!isCallerSeen()) {
		await afterNextPoll();
	}
};

/** Keeps a connection among the idle ones after each of its requests, until it closes. */
const keepWhenFree = (socket: Socket, endpoint: string, idleSockets: IdleSockets): void => {
	socket.on('free', () => {
		// Node:http delivers what happens on a socket to the request in `_httpMessage`; that request has ended.
		(socket as Socket & {_httpMessage?: unknown})._httpMessage = undefined;
		idleSockets.add(endpoint, socket);
	});
	socket.on('close', () => {
		idleSockets.remove(endpoint, socket);
	});
};

/**
Creates a pool of keep-alive connections to endpoints, which is empty.

The pool replaces the agent of node:http, which does not close an idle connection when bytes arrive on it (`createIdleSockets` does).

@param elapsed Elapsed ms, the time in which this host is suspended included.
@param connect Opens a new connection.
@param now Monotonic ms.
*/
export const createConnectionPool = (elapsed: () => number, connect: Connector, now = elapsed): ConnectionPool => {
	const idleSockets = createIdleSockets(elapsed);
	const quietSockets = createQuietSockets(now);

	/** Hands a request to a connection, if it is still wanted: its caller may have left while it waited, or right after it sent the request. */
	const sendOnConnection = async (request: ClientRequest, endpoint: ListedEndpoint, {isWanted, isCallerSeen, onConnected}: Sender): Promise<void> => {
		const isOver = (): boolean => request.destroyed || !isWanted();
		await readFromCaller(isCallerSeen);
		if (isOver()) {
			failRequest(request, 'aborted');
			return;
		}

		const idleSocket = idleSockets.take(endpoint.id);
		if (idleSocket) {
			request.reusedSocket = true;
			onConnected(undefined);
			quietSockets.follow(endpoint.id, idleSocket, request);
			request.onSocket(idleSocket);
			return;
		}

		const connection = await connect(endpoint);
		if (connection.type === 'failed') {
			failRequest(request, connection.reason);
			return;
		}

		const {socket, tunnel} = connection;
		(tunnel ? closeWhenFree : keepWhenFree)(socket, endpoint.id, idleSockets);
		if (!tunnel) {
			quietSockets.add(endpoint.id, socket);
		}

		await readFromCaller(isCallerSeen);

		// Bytes that came before the request belong to none.
		if (isOver() || !socket.writable || socket.readableLength > 0) {
			socket.destroy();
			failRequest(request, isOver() ? 'aborted' : 'closed');
			return;
		}

		onConnected(tunnel);
		quietSockets.follow(endpoint.id, socket, request);
		request.onSocket(socket);
	};

	return {
		createAgent: (endpoint, sender) => ({
			keepAlive: true,
			protocol: 'http:',
			defaultPort: httpPort,
			options: {},
			addRequest(request: ClientRequest) {
				void sendOnConnection(request, endpoint, sender);
			},
		}) as unknown as Agent,
		hasQuietSince: quietSockets.hasSince,
		closeIdle: idleSockets.close,
		keepOnly: idleSockets.keepOnly,
	};
};
