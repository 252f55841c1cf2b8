/**
Resolves once the event loop has read what had arrived at the sockets of this process when it was called.

The event loop reads each socket at most once in a turn, and the end of a connection in another turn than the bytes before it. A process that was
behind therefore acts on bytes before it knows that their sender has left, unless it waits for this.
*/
export const afterNextPoll = async (): Promise<void> => new Promise(resolve => {
	// The first immediate may run right after the poll that read those bytes; the second one runs after the next poll.
	setImmediate(() => {
		setImmediate(resolve);
	});
});
