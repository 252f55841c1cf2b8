import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {onceResponseClosed} from '../relaying/once-response-closed.js';
import type {CallerConnections} from './caller-connections.js';
import type {ConnectionArrival} from './connection-arrival.js';

type Connection = {
	/** Responses that were not yet written whole to the operating system. */
	readonly openResponses: Set<ServerResponse>;
	/** How many bytes the connection had received when its last response ended; `undefined` before the end of the first response. */
	bytesReadAtResponseEnd: number | undefined;
	readonly arrival: ConnectionArrival;
	/** How long the connection waited in the accept queue before it was accepted, as far as that was measured, in ms. */
	readonly waitedMs: number;
};

/**
Creates an empty list of callers' connections.

Node.js counts a connection as idle while its response still waits in the process for a caller that reads slowly, and closing the
connection would cut that response. A connection is closed only after the last of its responses, because a caller may have sent several
requests on it.

@param now Monotonic ms.
*/
export const createCallerConnections = (now: () => number): CallerConnections => {
	const connections = new Map<Socket, Connection>();
	/** The wait in the accept queue of requests that were sent with their connections, in ms. */
	const waitedMsByResponse = new WeakMap<ServerResponse, number>();

	// A new connection is not idle: its first request may be on its way, perhaps in a packet that was lost. Nor is one that has received
	// bytes since its last response: they belong to the next request.
	const isIdle = (socket: Socket, {openResponses, bytesReadAtResponseEnd}: Connection): boolean => openResponses.size === 0 && socket.bytesRead === bytesReadAtResponseEnd;

	// A caller may open a connection long before it sends a request on it. A first request that arrives within the time for which the
	// connection had waited counts as sent with the connection.
	const isSentWithConnection = ({openResponses, bytesReadAtResponseEnd, arrival, waitedMs}: Connection): boolean =>
		openResponses.size === 0 && bytesReadAtResponseEnd === undefined && now() - arrival.acceptedAt < waitedMs;

	return {
		noteConnection(socket, {waitedMs, earliestAt}) {
			connections.set(socket, {
				openResponses: new Set(), bytesReadAtResponseEnd: undefined, arrival: {earliestAt, acceptedAt: now()}, waitedMs,
			});
			socket.once('close', () => {
				connections.delete(socket);
			});
		},
		noteRequest(res) {
			const {socket} = res.req;
			const connection = connections.get(socket);
			if (connection && isSentWithConnection(connection)) {
				waitedMsByResponse.set(res, connection.waitedMs);
			}

			connection?.openResponses.add(res);
			onceResponseClosed(res, () => {
				if (connection) {
					connection.openResponses.delete(res);
					connection.bytesReadAtResponseEnd = socket.bytesRead;
				}
			});
		},
		arrivalOf: res => connections.get(res.req.socket)?.arrival,
		waitedMs: res => waitedMsByResponse.get(res) ?? 0,
		isLastOpenResponse(res) {
			const openResponses = connections.get(res.req.socket)?.openResponses;
			return openResponses === undefined || openResponses.size === 0 || (openResponses.size === 1 && openResponses.has(res));
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
