import type {ServerResponse} from 'node:http';
import {hasCallerLeft} from '@deckwheel/host-kit';
import {onceResponseClosed} from '../relaying/once-response-closed.js';

/**
Calls `callback` once, when the caller of a request leaves before it has its whole response; at once if it has left already.

A caller that ends its connection has left, since no more can be sent to it (node:http ends its own side, too). The close of the connection comes
later: some turns of the event loop, or as long as earlier bytes for the caller wait for their turn on the link.

@returns A function that cancels the callback.
*/
export const onceCallerLeft = (res: ServerResponse, callback: () => void): () => void => {
	const {socket} = res.req;
	const cancel = (): void => {
		socket.removeListener('end', onEnd);
		stopListeningForClose();
	};

	const onEnd = (): void => {
		cancel();
		if (hasCallerLeft(res)) {
			callback();
		}
	};

	const stopListeningForClose = onceResponseClosed(res, onEnd);
	socket.once('end', onEnd);
	// Node.js emits these events once. If one was emitted before the listeners were added, only the state of the objects shows it.
	if (hasCallerLeft(res)) {
		onEnd();
	}

	return cancel;
};
