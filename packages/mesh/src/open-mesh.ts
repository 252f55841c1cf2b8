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
An incoming connection on which nothing came for this long is probed by the system, in ms, and closed when the probes go
unanswered: a peer that replaced it, or lost power, never ends it.
*/
const keepAliveMs = 10_000;

/**
Listens for peers and keeps the links to them.

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

	// What silences one link of a host, such as a lost table of connections on the way, mostly silences others: they need not
	// wait for a question that goes unanswered.
	const doubtOthers = (address: string): void => {
		for (const [other, link] of links) {
			if (other !== address) {
				link.doubt();
			}
		}
	};

	const linkTo = (address: string): PeerLink => {
		const known = links.get(address);
		if (known) {
			return known;
		}

		const link = createPeerLink({
			address,
			meshOptions: options,
			onReplaced(quietMs) {
				options.handlers.onLinkReplaced?.(address, quietMs);
				doubtOthers(address);
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
