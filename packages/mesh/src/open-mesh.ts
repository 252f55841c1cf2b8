import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {WebSocketServer} from 'ws';
import {closeTunnel} from './lib/tunnels/close-tunnel.js';
import {createPeerLink} from './lib/create-peer-link.js';
import {createTunnelEnds} from './lib/tunnels/create-tunnel-ends.js';
import {createTunnelOffers} from './lib/tunnels/create-tunnel-offers.js';
import {dialTunnel} from './lib/tunnels/dial-tunnel.js';
import {maxFrameBytes} from './lib/max-frame-bytes.js';
import type {PeerLink} from './lib/peer-link.js';
import {serveLink} from './lib/serve-link.js';
import {serveTunnel} from './lib/tunnels/serve-tunnel.js';
import type {MeshOptions} from './mesh-options.js';
import type {TunnellingMesh} from './tunnelling-mesh.js';

/**
The time without data after which the system probes an incoming connection (TCP keep-alive), in ms. The system closes the connection
when the probes get no response: a peer that replaced its link or lost power never closes the old connection.
*/
const keepAliveMs = 10_000;

/** The status for a plain HTTP request: this port serves links and tunnels only. */
const upgradeRequiredStatus = 426;

/**
Listens for links and tunnels from peers, and keeps this host's links to them. Rejects where the address cannot be had.

@example
const mesh = await openMesh({self, secret, listen: {host: '127.0.0.1', port: 0}, handlers});
const outcome = await mesh.request('127.0.0.1:7000', {type: 'ping'}, 500);
*/
export const openMesh = async (options: MeshOptions): Promise<TunnellingMesh> => {
	const httpServer = createServer((_req, res) => {
		res.writeHead(upgradeRequiredStatus, {connection: 'close'}).end();
	});
	const server = new WebSocketServer({server: httpServer, maxPayload: maxFrameBytes, perMessageDeflate: false});
	const offers = createTunnelOffers();
	const ends = createTunnelEnds(() => performance.now());
	const tunnelPeers = new Set<Socket>();
	// It repeats the errors of its HTTP server: one that cannot listen rejects below.
	server.on('error', () => undefined);
	server.on('connection', (socket, req) => {
		req.socket.setKeepAlive(true, keepAliveMs);
		serveLink(socket, options);
	});
	httpServer.on('connect', (req, peer: Socket) => {
		peer.setKeepAlive(true, keepAliveMs);
		tunnelPeers.add(peer);
		peer.once('close', () => {
			tunnelPeers.delete(peer);
		});
		serveTunnel(req, peer, {offers, ends});
	});
	httpServer.listen(options.listen);
	await once(httpServer, 'listening');
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
		port: (httpServer.address() as AddressInfo).port,
		request: async (address, body, timeoutMs) => getLink(address).request(body, timeoutMs),
		send(address, body) {
			getLink(address).send(body);
		},
		quietMs: address => links.get(address)?.quietMs(),
		tunnels: {
			offer: offers.add, open: dialTunnel, served: () => tunnelPeers.size, hasEnded: ends.has, recentlyEnded: ends.recent,
		},
		async close() {
			offers.close();
			for (const peer of tunnelPeers) {
				closeTunnel(peer);
			}

			for (const link of links.values()) {
				link.close();
			}

			for (const socket of server.clients) {
				socket.terminate();
			}

			server.close();
			httpServer.close();
			httpServer.closeAllConnections();
			await once(httpServer, 'close');
		},
	};
};
