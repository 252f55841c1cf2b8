import type {Socket} from 'node:net';

/**
Endpoints close idle connections at a time of their own choosing; a connection is not used near that time, in ms. Below
the five seconds after which node:http servers close them.
*/
const maxIdleMs = 4000;

type IdleSocket = {
	readonly socket: Socket;
	/** Elapsed ms. */
	readonly idleSince: number;
};

/** Connections that no request uses, by endpoint. */
type IdleSockets = {
	/** The one that was used last, if it may still be used. */
	readonly take: (endpoint: string) => Socket | undefined;
	readonly keep: (endpoint: string, socket: Socket) => void;
	readonly drop: (endpoint: string, socket: Socket) => void;
	/** Closes those of an endpoint. */
	readonly closeOf: (endpoint: string) => void;
	/** Closes those of endpoints that are not among these. */
	readonly keepOnly: (endpoints: ReadonlySet<string>) => void;
};

/**
Creates an empty store of connections. Bytes that arrive on an idle one end it: they are a surplus answer, and would be
read as the answer to the next request.

@param elapsed Elapsed ms: endpoints close idle connections while this machine is suspended as well.
*/
export const createIdleSockets = (elapsed: () => number): IdleSockets => {
	const idle = new Map<string, IdleSocket[]>();

	const isUsable = ({socket, idleSince}: IdleSocket): boolean =>
		!socket.destroyed && socket.writable && socket.readableLength === 0 && elapsed() - idleSince < maxIdleMs;

	const closeOf = (endpoint: string): void => {
		for (const {socket} of idle.get(endpoint) ?? []) {
			socket.destroy();
		}
	};

	return {
		take(endpoint) {
			for (;;) {
				const kept = idle.get(endpoint)?.pop();
				if (!kept) {
					return undefined;
				}

				kept.socket.removeAllListeners('data');
				if (isUsable(kept)) {
					return kept.socket;
				}

				kept.socket.destroy();
			}
		},
		keep(endpoint, socket) {
			if (socket.destroyed || !socket.writable) {
				return;
			}

			socket.once('data', () => {
				socket.destroy();
			});
			const kept = idle.get(endpoint) ?? [];
			kept.push({socket, idleSince: elapsed()});
			idle.set(endpoint, kept);
		},
		drop(endpoint, socket) {
			const kept = idle.get(endpoint)?.filter(entry => entry.socket !== socket) ?? [];
			if (kept.length > 0) {
				idle.set(endpoint, kept);
			} else {
				idle.delete(endpoint);
			}
		},
		closeOf,
		keepOnly(endpoints) {
			for (const endpoint of idle.keys()) {
				if (!endpoints.has(endpoint)) {
					closeOf(endpoint);
				}
			}
		},
	};
};
