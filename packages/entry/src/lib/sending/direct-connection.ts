import type {Socket} from 'node:net';

/** The end of trying to connect to an address. `reason`: the code of the error, or `connect_timeout`. */
export type DirectConnection =
	| {readonly type: 'open'; readonly socket: Socket}
	| {readonly type: 'failed'; readonly reason: string};
