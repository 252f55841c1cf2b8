import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {onceResponseClosed} from '../relaying/once-response-closed.js';
import type {CallerConnections} from './caller-connections.js';

type Connection = {
	/** Answers that have not reached the system whole. */
	readonly open: Set<ServerResponse>;
	/** What had come when the last answer ended, in bytes; `undefined` before the first. */
	answeredAtBytes: number | undefined;
	/** Monotonic ms. */
	readonly acceptedAt: number;
	/** How long it waited before that, in ms. */
	readonly waitedMs: number;
};

/**
Creates the list of callers' connections, which is empty.

Node's own idea of an idle connection includes one whose answer still waits in the process for a caller that reads slowly; closing
it would cut that answer. And a connection closes after the last of its answers only, since a caller may have sent on several requests.

@param now Monotonic ms.
*/
export const createCallerConnections = (now: () => number): CallerConnections => {
	const connections = new Map<Socket, Connection>();
	/** Of first requests that were there when their connections were taken. */
	const waits = new WeakMap<ServerResponse, number>();

	// A first request may be under way, perhaps in a packet that was lost; of a later one, bytes may be here.
	const isIdle = (socket: Socket, {open, answeredAtBytes}: Connection): boolean => open.size === 0 && socket.bytesRead === answeredAtBytes;

	// A caller may open a connection long before it sends a request; one that comes sooner than the connection waited was sent with it.
	const isWaiting = ({open, answeredAtBytes, acceptedAt, waitedMs}: Connection): boolean =>
		open.size === 0 && answeredAtBytes === undefined && now() - acceptedAt < waitedMs;

	return {
		accepted(socket, waitedMs) {
			connections.set(socket, {
				open: new Set(), answeredAtBytes: undefined, acceptedAt: now(), waitedMs,
			});
			socket.once('close', () => {
				connections.delete(socket);
			});
		},
		requested(res) {
			const {socket} = res.req;
			const connection = connections.get(socket);
			if (connection && isWaiting(connection)) {
				waits.set(res, connection.waitedMs);
			}

			connection?.open.add(res);
			onceResponseClosed(res, () => {
				if (connection) {
					connection.open.delete(res);
					connection.answeredAtBytes = socket.bytesRead;
				}
			});
		},
		waitedMs: res => waits.get(res) ?? 0,
		isLastOpen(res) {
			const open = connections.get(res.req.socket)?.open;
			return open === undefined || open.size === 0 || (open.size === 1 && open.has(res));
		},
		closeIdle() {
			for (const [socket, connection] of connections) {
				if (isIdle(socket, connection)) {
					socket.destroy();
				}
			}
		},
	};
};
