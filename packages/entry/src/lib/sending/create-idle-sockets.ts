import type {Socket} from 'node:net';

/**
A connection that has been idle for this long, in ms, is not reused: the endpoint may be closing it just as a request is sent on it.
Servers of node:http close idle connections after five seconds; this is below.
*/
const maxIdleMs = 4000;

type IdleSocket = {
	readonly socket: Socket;
	/** When the socket became idle, in elapsed ms. */
	readonly idleSince: number;
};

/** Sockets that no request uses. `endpoint` is the id of the endpoint that a socket is connected to. */
type IdleSockets = {
	/** Takes out the most recently used socket that can still be used, and destroys unusable ones on the way; `undefined` if there is none. */
	readonly take: (endpoint: string) => Socket | undefined;
	/** Adds a socket whose request has ended. */
	readonly add: (endpoint: string, socket: Socket) => void;
	/** Removes a socket that was closed. */
	readonly remove: (endpoint: string, socket: Socket) => void;
	/** Destroys the idle sockets of an endpoint. */
	readonly close: (endpoint: string) => void;
	/** Destroys the idle sockets of all other endpoints than these. */
	readonly keepOnly: (endpoints: ReadonlySet<string>) => void;
};

/**
Creates an empty set of idle sockets. A socket on which bytes arrive while it is idle is destroyed: the bytes belong to no request
and would be read as the response to the next one.

@param elapsed Elapsed ms, the time in which this host is suspended included: endpoints close idle connections in that time as well.
*/
export const createIdleSockets = (elapsed: () => number): IdleSockets => {
	const socketsByEndpoint = new Map<string, IdleSocket[]>();

	const isUsable = ({socket, idleSince}: IdleSocket): boolean =>
		!socket.destroyed && socket.writable && socket.readableLength === 0 && elapsed() - idleSince < maxIdleMs;

	const close = (endpoint: string): void => {
		for (const {socket} of socketsByEndpoint.get(endpoint) ?? []) {
			socket.destroy();
		}
	};

	return {
		take(endpoint) {
			for (;;) {
				const candidate = socketsByEndpoint.get(endpoint)?.pop();
				if (!candidate) {
					return undefined;
				}

				candidate.socket.removeAllListeners('data');
				if (isUsable(candidate)) {
					return candidate.socket;
				}

				candidate.socket.destroy();
			}
		},
		add(endpoint, socket) {
			if (socket.destroyed || !socket.writable) {
				return;
			}

			socket.once('data', () => {
				socket.destroy();
			});
			const sockets = socketsByEndpoint.get(endpoint) ?? [];
			sockets.push({socket, idleSince: elapsed()});
			socketsByEndpoint.set(endpoint, sockets);
		},
		remove(endpoint, socket) {
			const remaining = socketsByEndpoint.get(endpoint)?.filter(entry => entry.socket !== socket) ?? [];
			if (remaining.length > 0) {
				socketsByEndpoint.set(endpoint, remaining);
			} else {
				socketsByEndpoint.delete(endpoint);
			}
		},
		close,
		keepOnly(endpoints) {
			for (const endpoint of socketsByEndpoint.keys()) {
				if (!endpoints.has(endpoint)) {
					close(endpoint);
				}
			}
		},
	};
};
