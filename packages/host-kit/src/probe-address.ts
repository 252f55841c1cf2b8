import {connect} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import type {ProbeResult} from './probe-result.js';

/**
Opens a TCP connection to an `ip:port` and closes it at once. Of the errors, only a refused connection counts as `refused`. A reset
counts as `silent`, because an overloaded endpoint also resets connections.
*/
export const probeAddress = async (address: string, timeoutMs: number): Promise<ProbeResult> => new Promise(resolve => {
	const socket = connect(splitAddress(address));
	const finish = (result: ProbeResult): void => {
		clearTimeout(timer);
		resolve(result);
		socket.destroy();
	};

	const timer = setTimeout(() => {
		// If the event loop was blocked, the socket may already be connected when the timer fires. `setImmediate` lets its
		// `connect` event come first.
		setImmediate(finish, 'silent');
	}, timeoutMs);
	socket.on('connect', () => {
		finish('reached');
	});
	socket.on('error', (error: NodeJS.ErrnoException) => {
		finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
	});
});
