import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {AcceptWait} from './accept-wait.js';
import type {ConnectionArrival} from './connection-arrival.js';

/** The open connections of callers to this host, and the responses that are open on each. */
export type CallerConnections = {
	/** Notes an accepted connection. */
	readonly noteConnection: (socket: Socket, wait: AcceptWait) => void;
	/** Notes a request, by its response, once its head was read. */
	readonly noteRequest: (res: ServerResponse) => void;
	/** How long a request waited in the accept queue with its connection, in ms; 0 for a request that was sent later than its connection. */
	readonly waitedMs: (res: ServerResponse) => number;
	/** When the connection of a request came at the earliest, and when it was accepted; `undefined` for a connection that was not noted. */
	readonly arrivalOf: (res: ServerResponse) => ConnectionArrival | undefined;
	/** Whether no other response is open on the connection of this one. */
	readonly isLastOpenResponse: (res: ServerResponse) => boolean;
	/** Closes the connections whose requests all have whole responses and that have sent nothing since. */
	readonly closeIdle: () => void;
};
