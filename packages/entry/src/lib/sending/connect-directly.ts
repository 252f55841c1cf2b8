import type {DirectConnection} from './direct-connection.js';
import {openSocket} from './open-socket.js';

/** Connects to an endpoint at `address`, an `ip:port`, by this host's own links. Never rejects. */
export const connectDirectly = async (address: string, timeoutMs: number): Promise<DirectConnection> => new Promise(resolve => {
	const socket = openSocket(address);
	const finish = (result: DirectConnection): void => {
		clearTimeout(timer);
		socket.off('connect', onConnect);
		socket.off('error', onError);
		resolve(result);
	};

	const onConnect = (): void => {
		finish({type: 'open', socket});
	};

	const onError = (error: NodeJS.ErrnoException): void => {
		finish({type: 'failed', reason: error.code ?? error.message});
	};

	const timer = setTimeout(() => {
		// If the connection came up while this process was busy, its 'connect' event is emitted before this callback.
		setImmediate(() => {
			if (socket.connecting) {
				socket.destroy();
				finish({type: 'failed', reason: 'connect_timeout'});
			}
		});
	}, timeoutMs);
	socket.once('connect', onConnect);
	socket.once('error', onError);
});
