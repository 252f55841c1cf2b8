import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {WebSocketServer} from 'ws';
import {createPeerLink} from './lib/create-peer-link.js';
import {maxFrameBytes} from './lib/max-frame-bytes.js';
import type {PeerLink} from './lib/peer-link.js';
import {serveLink} from './lib/serve-link.js';
import type {MeshOptions} from './mesh-options.js';
import type {Mesh} from './mesh.js';

/**
The time without data after which the system probes an incoming connection (TCP keep-alive), in ms. The system closes the connection
when the probes get no response: a peer that replaced its link or lost power never closes the old connection.
*/
const keepAliveMs = 10_000;

/**
Listens for links from peers and keeps this host's links to them.

@example
const mesh = await openMesh({self, secret, listen: {host: '127.0.0.1', port: 0}, handlers});
const outcome = await mesh.request('127.0.0.1:7000', {type: 'ping'}, 500);
*/
export const openMesh = async (options: MeshOptions): Promise<Mesh> => {
	const server = new WebSocketServer({...options.listen, maxPayload: maxFrameBytes, perMessageDeflate: false});
	server.on('connection', (socket, req) => {
		req.socket.setKeepAlive(true, keepAliveMs);
		serveLink(socket, options);
	});
	await once(server, 'listening');
	const links = new Map<string, PeerLink>();

	// A fault that silences one link, such as a router that lost its connection table, mostly silences other links of this host too.
	// The other links are checked at once, so that none of them has to lose a request first.
	const checkOtherLinks = (address: string): void => {
		for (const [other, link] of links) {
			if (other !== address) {
				link.checkHealth();
			}
		}
	};

	const getLink = (address: string): PeerLink => {
		const known = links.get(address);
		if (known) {
			return known;
		}

		const link = createPeerLink({
			address,
			meshOptions: options,
			onReplaced(quietMs) {
				options.handlers.onLinkReplaced?.(address, quietMs);
				checkOtherLinks(address);
			},
			onClose() {
				if (links.get(address) === link) {
					links.delete(address);
				}
			},
		});
		links.set(address, link);
		return link;
	};

	return {
		port: (server.address() as AddressInfo).port,
		request: async (address, body, timeoutMs) => getLink(address).request(body, timeoutMs),
		send(address, body) {
			getLink(address).send(body);
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
