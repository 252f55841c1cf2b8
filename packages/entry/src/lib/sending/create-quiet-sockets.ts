import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
The open sockets on which no response is under way, by the id of the endpoint that each is connected to. The end of such a socket is read at once; that of
another one comes behind the bytes that its endpoint's system still sends for a process that has ended.
*/
type QuietSockets = {
	/** Adds a socket until it closes. */
	readonly add: (endpoint: string, socket: Socket) => void;
	/** Leaves the socket of a request out from the head of its response until the socket is free again. */
	readonly follow: (endpoint: string, socket: Socket, request: ClientRequest) => void;
	/** Whether there is one that was opened before `time`, in monotonic ms. */
	readonly hasSince: (endpoint: string, time: number) => boolean;
};

/** Creates an empty set of quiet sockets. `now` is monotonic ms. */
export const createQuietSockets = (now: () => number): QuietSockets => {
	/** When each socket was opened. */
	const socketsByEndpoint = new Map<string, Map<Socket, number>>();

	const remove = (endpoint: string, socket: Socket): void => {
		const sockets = socketsByEndpoint.get(endpoint);
		sockets?.delete(socket);
		if (sockets?.size === 0) {
			socketsByEndpoint.delete(endpoint);
		}
	};

	const insert = (endpoint: string, socket: Socket, openedAt: number): void => {
		if (!socket.destroyed) {
			socketsByEndpoint.set(endpoint, (socketsByEndpoint.get(endpoint) ?? new Map<Socket, number>()).set(socket, openedAt));
		}
	};

	return {
		add(endpoint, socket) {
			const openedAt = now();
			insert(endpoint, socket, openedAt);
			socket.on('free', () => {
				insert(endpoint, socket, openedAt);
			});
			socket.on('close', () => {
				remove(endpoint, socket);
			});
		},
		follow(endpoint, socket, request) {
			request.once('response', () => {
				remove(endpoint, socket);
			});
		},
		hasSince: (endpoint, time) => [...socketsByEndpoint.get(endpoint)?.values() ?? []].some(openedAt => openedAt < time),
	};
};
