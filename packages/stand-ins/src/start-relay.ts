import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import type {RunningRelay} from './running-relay.js';

/**
Starts a relay in front of a TCP address, to cut a link in tests.

`refuse` closes every connection at once; `stall` keeps them open and passes nothing on, for new ones as well; `silence` does so
for those that are open now, and lets new ones pass.
*/
export const startRelay = async (): Promise<RunningRelay> => {
	const sockets = new Set<Socket>();
	/** Those that carry nothing any more, not even their end. */
	const silent = new Set<Socket>();
	let mode: 'pass' | 'refuse' | 'stall' = 'pass';
	let targetPort = 0;

	const join = (from: Socket, to: Socket): void => {
		sockets.add(from);
		from.on('data', data => {
			if (mode === 'pass' && !silent.has(from)) {
				to.write(data);
			}
		});
		from.on('error', () => {
			from.destroy();
		});
		from.on('close', () => {
			sockets.delete(from);
			if (!silent.delete(from)) {
				to.destroy();
			}
		});
	};

	const server = createServer(client => {
		if (mode === 'refuse') {
			client.destroy();
			return;
		}

		const target = connect(targetPort, '127.0.0.1');
		join(client, target);
		join(target, client);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const dropAll = (): void => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	return {
		port: (server.address() as AddressInfo).port,
		aimAt(port) {
			targetPort = port;
		},
		setMode(next) {
			mode = next;
			if (next !== 'stall') {
				dropAll();
			}
		},
		silence() {
			for (const socket of sockets) {
				silent.add(socket);
			}
		},
		async close() {
			dropAll();
			server.close();
			await once(server, 'close');
		},
	};
};
