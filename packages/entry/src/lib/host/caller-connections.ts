import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** The connections of callers, and which answers are open on each. */
export type CallerConnections = {
	/** Notes a connection. `waitedMs`: how long it waited before this process took it, in ms. */
	readonly accepted: (socket: Socket, waitedMs: number) => void;
	/** Notes a request whose head is here. */
	readonly requested: (res: ServerResponse) => void;
	/** How long a request waited with its connection before this process took that, in ms. */
	readonly waitedMs: (res: ServerResponse) => number;
	/** Whether this is the only open answer of its connection. */
	readonly isLastOpen: (res: ServerResponse) => boolean;
	/** Closes those that have been answered and send nothing. */
	readonly closeIdle: () => void;
};
