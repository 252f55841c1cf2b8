import type {Server} from 'node:http';
import {Server as NetServer, type AddressInfo} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import {untilTried} from '@deckwheel/host-kit';
import type {Log} from '../../adapter/log.js';
import type {CallerListener} from './caller-listener.js';

type Options = {
	/** The server for callers, which does not listen yet. */
	readonly server: Server;
	/** The address at which it is to listen, as `ip:port`. */
	readonly address: string;
	/** How many requests are open. */
	readonly open: () => number;
	readonly log: Log;
};

// `close` of the HTTP server would also destroy the connections that Node.js counts as idle, among them those with responses that callers are
// still reading.
const closeListeningSocket = (server: Server): void => {
	NetServer.prototype.close.call(server);
};

/**
Opens the listener of a server that accepts connections. Resolves once it listens or has failed to for the first time; where it has failed,
the next call of `setAccepting` tries again.
*/
export const openCallerListener = async ({server, address, open, log}: Options): Promise<CallerListener> => {
	const {host, port: anyPort} = splitAddress(address);
	/** The port, once the system has picked one. */
	let port = anyPort;
	let isListening = false;
	let hasStopped = false;

	const refuseConnections = (): void => {
		isListening = false;
		closeListeningSocket(server);
	};

	const listen = (): void => {
		isListening = true;
		server.listen(port, host);
	};

	server.on('listening', () => {
		({port} = server.address() as AddressInfo);
		if (hasStopped) {
			refuseConnections();
		}
	});
	server.on('error', error => {
		isListening = server.listening;
		log('listen_failed', {address, error: error.message});
	});
	listen();
	await untilTried(server);
	server.on('listening', () => {
		log('accepting', {accepting: true, open: open()});
	});
	return {
		address: () => `${host}:${port}`,
		isAccepting: () => isListening,
		setAccepting(isAccepting) {
			if (hasStopped || isAccepting === isListening) {
				return;
			}

			if (isAccepting) {
				listen();
			} else {
				refuseConnections();
				log('accepting', {accepting: false, open: open()});
			}
		},
		stop() {
			hasStopped = true;
			if (isListening) {
				refuseConnections();
			}
		},
		kill() {
			hasStopped = true;
			server.closeAllConnections();
			server.close();
		},
	};
};
