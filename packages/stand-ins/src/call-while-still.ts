import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {StillThreadCall} from './lib/still-thread-call.js';
import {standStill} from './stand-still.js';

const callerPath = new URL('lib/still-thread-caller.js', import.meta.url);

/** How much longer this thread stands still after the caller has left, in ms: longer than the end of a connection may stand unread. */
const stillMs = 500;

type Options = Omit<StillThreadCall, 'hasLeft'> & {
	/** Resolves once this thread may stand still. */
	readonly beforeStill?: Promise<unknown>;
};

/**
Sends bytes to `address`, `ip:port`, and closes the connection, all while this thread, and with it each host in it, stands still: whoever reads the
bytes then has the end of the connection right behind them.
*/
export const callWhileStill = async ({beforeStill, ...call}: Options): Promise<void> => {
	const hasLeft = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
	const worker = new Worker(callerPath, {workerData: {...call, hasLeft}});
	await Promise.all([once(worker, 'message'), beforeStill]);
	worker.postMessage('send');
	Atomics.wait(hasLeft, 0, 0);
	// The thread has not read anything for so long that it counts as behind.
	standStill(stillMs);
	worker.unref();
};
