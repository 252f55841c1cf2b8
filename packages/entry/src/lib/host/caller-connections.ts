import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** The open connections of callers to this host, and the responses that are open on each. */
export type CallerConnections = {
	/** Notes an accepted connection. `waitedMs`: how long the connection waited in the accept queue, in ms. */
	readonly noteConnection: (socket: Socket, waitedMs: number) => void;
	/** Notes a request, by its response, once its head was read. */
	readonly noteRequest: (res: ServerResponse) => void;
	/** How long a request waited in the accept queue with its connection, in ms; 0 for a request that was sent later than its connection. */
	readonly waitedMs: (res: ServerResponse) => number;
	/** Whether no other response is open on the connection of this one. */
	readonly isLastOpenResponse: (res: ServerResponse) => boolean;
	/** Closes the connections whose requests all have whole responses and that have sent nothing since. */
	readonly closeIdle: () => void;
};
