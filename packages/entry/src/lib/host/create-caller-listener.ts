import type {Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import type {Log} from '../../adapter/log.js';
import type {CallerListener} from './caller-listener.js';

type Options = {
	/** The server for callers, which listens already. */
	readonly server: Server;
	/** The address at which it listens, as `ip:port`. */
	readonly address: string;
	/** How many requests are open. */
	readonly open: () => number;
	readonly log: Log;
};

/** Creates the listener of a server that accepts connections. */
export const createCallerListener = ({server, address, open, log}: Options): CallerListener => {
	let isListening = true;
	let hasStopped = false;

	const refuseConnections = (): void => {
		isListening = false;
		// `close` of the HTTP server would also destroy the connections that Node.js counts as idle, among them those with responses that
		// callers are still reading.
		NetServer.prototype.close.call(server);
	};

	const listenAgain = (): void => {
		isListening = true;
		const {host, port} = splitAddress(address);
		server.listen(port, host);
	};

	server.on('listening', () => {
		log('accepting', {accepting: true, open: open()});
	});
	server.on('error', error => {
		// The next call of `setAccepting` tries again.
		isListening = server.listening;
		log('listen_failed', {address, error: error.message});
	});
	return {
		isAccepting: () => isListening,
		setAccepting(isAccepting) {
			if (hasStopped || isAccepting === isListening) {
				return;
			}

			if (isAccepting) {
				listenAgain();
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
