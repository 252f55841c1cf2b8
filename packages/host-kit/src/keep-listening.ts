import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import {untilTried} from './until-tried.js';

/** The delay between two attempts to listen, in ms. A process that ends usually frees its ports within a second. */
const retryDelayMs = 500;

type KeptListener = {
	/** Resolves once the server listens or has failed to for the first time. */
	readonly tried: Promise<void>;
	/** The address, as `ip:port`; once the server listens, with the actual port. */
	readonly address: () => string;
	/** Ends the attempts, and closes the listening socket. */
	readonly close: () => void;
};

/**
Makes a server listen on an `ip:port`, and tries again while the address is taken or the machine does not have it yet. With port 0, the
operating system picks a free port.

@param onFailed Called with each error of the server, also where it cannot accept a connection.
*/
export const keepListening = (server: Server, address: string, onFailed: (error: Error) => void): KeptListener => {
	const {host, port} = splitAddress(address);
	let isClosed = false;
	let retryTimer: NodeJS.Timeout | undefined;
	const listen = (): void => {
		server.listen(port, host);
	};

	server.on('error', error => {
		onFailed(error);
		if (!server.listening && !isClosed) {
			clearTimeout(retryTimer);
			retryTimer = setTimeout(listen, retryDelayMs);
		}
	});
	server.on('listening', () => {
		if (isClosed) {
			server.close();
		}
	});
	listen();
	return {
		tried: untilTried(server),
		address: () => server.listening ? `${host}:${(server.address() as AddressInfo).port}` : address,
		close() {
			isClosed = true;
			clearTimeout(retryTimer);
			server.close();
		},
	};
};
