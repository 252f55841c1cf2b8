import type {Agent, ClientRequest} from 'node:http';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import type {ConnectionPool} from './connection-pool.js';

/** Endpoints close idle connections at a time of their own choosing; a connection is not used near that time. */
const maxIdleMs = 4000;

type KeptSocket = {readonly socket: Socket; readonly idleSince: number};

/**
Keeps connections to endpoints.

node:http's own agent is not used, since bytes that arrive on an idle connection have to end it:
they are a surplus answer, and would be read as the answer to the next request.

@param now Monotonic ms.
*/
export const createConnectionPool = (now: () => number): ConnectionPool => {
	const idle = new Map<string, KeptSocket[]>();

	const dropSocket = (endpoint: string, socket: Socket): void => {
		const kept = idle.get(endpoint)?.filter(entry => entry.socket !== socket) ?? [];
		if (kept.length > 0) {
			idle.set(endpoint, kept);
		} else {
			idle.delete(endpoint);
		}
	};

	const takeIdle = (endpoint: string): Socket | undefined => {
		for (;;) {
			const kept = idle.get(endpoint)?.pop();
			if (!kept) {
				return undefined;
			}

			const {socket, idleSince} = kept;
			socket.removeAllListeners('data');
			if (!socket.destroyed && socket.writable && socket.readableLength === 0 && now() - idleSince < maxIdleMs) {
				return socket;
			}

			socket.destroy();
		}
	};

	const keep = (endpoint: string, socket: Socket): void => {
		if (socket.destroyed || !socket.writable) {
			return;
		}

		(socket as Socket & {_httpMessage?: unknown})._httpMessage = undefined;
		socket.once('data', () => {
			socket.destroy();
		});
		const kept = idle.get(endpoint) ?? [];
		kept.push({socket, idleSince: now()});
		idle.set(endpoint, kept);
	};

	const open = (endpoint: string, address: string): Socket => {
		const socket = connect({...splitAddress(address), noDelay: true});
		// A reset that comes together with data is told as an ordinary end (libuv takes a hang-up after a short read
		// for one). A socket that was reset has no peer any more.
		socket.prependListener('end', () => {
			if (socket.remoteAddress === undefined) {
				socket.emit('error', new Error('ECONNRESET'));
			}
		});
		socket.on('free', () => {
			keep(endpoint, socket);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			dropSocket(endpoint, socket);
		});
		return socket;
	};

	return {
		agentFor: (endpoint, address) => ({
			keepAlive: true,
			protocol: 'http:',
			defaultPort: 80,
			options: {},
			addRequest(request: ClientRequest) {
				const kept = takeIdle(endpoint);
				request.reusedSocket = kept !== undefined;
				request.onSocket(kept ?? open(endpoint, address));
			},
		}) as unknown as Agent,
		keepOnly(endpoints) {
			for (const [endpoint, kept] of idle) {
				if (!endpoints.has(endpoint)) {
					for (const {socket} of kept) {
						socket.destroy();
					}
				}
			}
		},
	};
};
