import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/** What the kernel and the two processes may hold of a connection on which nothing is read any more, in bytes. */
export const maxBytesUnderWay = 8 * 1024 * 1024;

/** Sends a start and then bytes until the connection closes, or `trialBytes` were sent. Resolves to how many had been sent then. */
export const sendEndless = async (socket: Socket, start: string, trialBytes: number): Promise<number> => new Promise(resolve => {
	let sentBytes = 0;
	const piece = Buffer.alloc(65_536, 'a');
	const send = (): void => {
		sentBytes += piece.length;
		if (sentBytes > trialBytes) {
			socket.destroy();
		} else if (!socket.destroyed) {
			socket.write(piece, () => {
				setImmediate(send);
			});
		}
	};

	socket.on('close', () => {
		resolve(sentBytes);
	});
	socket.write(start, send);
});
