import {connect} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import type {ProbeResult} from './probe-result.js';

/** Tries a connection to an `ip:port`, and closes it at once. A reset counts as silence: a crowded endpoint resets as well. */
export const probeAddress = async (address: string, timeoutMs: number): Promise<ProbeResult> => new Promise(resolve => {
	const socket = connect(splitAddress(address));
	const end = (result: ProbeResult): void => {
		clearTimeout(timer);
		resolve(result);
		socket.destroy();
	};

	const timer = setTimeout(() => {
		// A connection that came while this process was busy elsewhere is reported before this.
		setImmediate(end, 'silent');
	}, timeoutMs);
	socket.on('connect', () => {
		end('reached');
	});
	socket.on('error', (error: NodeJS.ErrnoException) => {
		end(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
	});
});
