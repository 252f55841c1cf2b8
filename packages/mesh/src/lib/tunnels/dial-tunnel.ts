import {request} from 'node:http';
import type {Socket} from 'node:net';
import {splitAddress} from '@deckwheel/core';

/** The status of a response that opens a tunnel. */
const okStatus = 200;

/**
Takes over a connection of the peer at `address`, `ip:port`, by its ticket. Never rejects.

@returns The connection, as if this host had opened it itself; `undefined` if the peer did not hand it over within `timeoutMs`.
*/
export const dialTunnel = async (address: string, ticket: string, timeoutMs: number): Promise<Socket | undefined> => new Promise(resolve => {
	const req = request({
		...splitAddress(address), method: 'CONNECT', path: address, agent: false, headers: {'proxy-authorization': `Bearer ${ticket}`},
	});
	const timer = setTimeout(() => {
		// If this process was busy, the response is read before this callback runs.
		setImmediate(() => {
			req.destroy();
		});
	}, timeoutMs);
	req.on('connect', (res, socket: Socket, head) => {
		clearTimeout(timer);
		if (res.statusCode !== okStatus) {
			socket.destroy();
			resolve(undefined);
			return;
		}

		socket.setNoDelay(true);
		if (head.length > 0) {
			socket.unshift(head);
		}

		resolve(socket);
	});
	req.on('response', response => {
		response.resume();
		resolve(undefined);
	});
	req.on('error', () => {
		resolve(undefined);
	});
	req.on('close', () => {
		clearTimeout(timer);
		resolve(undefined);
	});
	req.end();
});
