import {connect} from 'node:net';
import {splitAddress} from '@deckwheel/core';

/** Whether an `ip:port` takes a connection in time. A refusal says nothing: cuts and dead ports refuse alike. */
export const probeAddress = async (address: string, timeoutMs: number): Promise<boolean> => new Promise(resolve => {
	const socket = connect(splitAddress(address));
	const end = (isReached: boolean): void => {
		clearTimeout(timer);
		resolve(isReached);
		socket.destroy();
	};

	const timer = setTimeout(() => {
		// A connection that came while this process was busy elsewhere is reported before this.
		setImmediate(end, false);
	}, timeoutMs);
	socket.on('connect', () => {
		end(true);
	});
	socket.on('error', () => {
		end(false);
	});
});
