import type {ServerResponse} from 'node:http';

/** Whether the caller of a request has left before its response was written whole. */
export const hasCallerLeft = (res: ServerResponse): boolean => {
	const {socket} = res.req;
	return !res.writableFinished && (res.closed || socket.destroyed || socket.readableEnded);
};
