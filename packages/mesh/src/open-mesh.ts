import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {WebSocketServer} from 'ws';
import {dialLink} from './lib/dial-link.js';
import type {Link} from './lib/link.js';
import {maxFrameBytes} from './lib/max-frame-bytes.js';
import {serveLink} from './lib/serve-link.js';
import type {MeshOptions} from './mesh-options.js';
import type {Mesh} from './mesh.js';

/**
Listens for peers and keeps the links to them.

@example
const mesh = await openMesh({self, secret, listen: {host: '127.0.0.1', port: 0}, handlers});
const outcome = await mesh.request('127.0.0.1:7000', {type: 'ping'}, 500);
*/
export const openMesh = async (options: MeshOptions): Promise<Mesh> => {
	const server = new WebSocketServer({...options.listen, maxPayload: maxFrameBytes, perMessageDeflate: false});
	server.on('connection', socket => {
		serveLink(socket, options);
	});
	await once(server, 'listening');
	const links = new Map<string, Link>();

	const linkTo = (address: string): Link => {
		const known = links.get(address);
		if (known && !known.isClosed()) {
			return known;
		}

		const link = dialLink(address, options, () => {
			if (links.get(address) === link) {
				links.delete(address);
			}
		});
		links.set(address, link);
		return link;
	};

	return {
		port: (server.address() as AddressInfo).port,
		request: async (address, body, timeoutMs) => linkTo(address).request(body, timeoutMs),
		send(address, body) {
			linkTo(address).send(body);
		},
		quietMs: address => links.get(address)?.quietMs(),
		async close() {
			for (const link of links.values()) {
				link.close();
			}

			for (const socket of server.clients) {
				socket.terminate();
			}

			server.close();
			await once(server, 'close');
		},
	};
};
