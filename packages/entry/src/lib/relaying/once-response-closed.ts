import type {ServerResponse} from 'node:http';

/**
Calls `callback` once, when a response or its connection is closed, whichever comes first. The connection has to be listened to as well:
a pipelined response that waits behind another one emits no 'close' when the connection closes.

@returns A function that cancels the callback.
*/
export const onceResponseClosed = (res: ServerResponse, callback: () => void): () => void => {
	const {socket} = res.req;
	/** A listener that is removed while its event is being emitted is still called. */
	let isDone = false;

	const cancel = (): void => {
		isDone = true;
		res.removeListener('close', onClose);
		socket.removeListener('close', onClose);
	};

	const onClose = (): void => {
		if (!isDone) {
			cancel();
			callback();
		}
	};

	res.once('close', onClose);
	socket.once('close', onClose);
	return cancel;
};
