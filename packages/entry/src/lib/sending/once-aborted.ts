/**
Calls `callback` once a signal is aborted; at once where it was aborted before.

Node.js keeps a signal that is made of others, and all that its listeners reach, for as long as it has a listener. So whoever listens stops in the end.

@returns A function that cancels the callback.
*/
export const onceAborted = (signal: AbortSignal, callback: () => void): () => void => {
	if (signal.aborted) {
		callback();
		return () => undefined;
	}

	signal.addEventListener('abort', callback, {once: true});
	return () => {
		signal.removeEventListener('abort', callback);
	};
};
