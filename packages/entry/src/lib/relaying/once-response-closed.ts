import type {ServerResponse} from 'node:http';

/**
Calls back once an answer ended, or its connection did, whichever comes first. An answer that waits behind another one of its connection
never hears of that connection's end by itself.

@returns What stops it.
*/
export const onceResponseClosed = (res: ServerResponse, callback: () => void): () => void => {
	const {socket} = res.req;
	/** A listener that is taken off while its event is told is still called. */
	let isOver = false;

	const cancel = (): void => {
		isOver = true;
		res.removeListener('close', onClose);
		socket.removeListener('close', onClose);
	};

	const onClose = (): void => {
		if (!isOver) {
			cancel();
			callback();
		}
	};

	res.once('close', onClose);
	socket.once('close', onClose);
	return cancel;
};
