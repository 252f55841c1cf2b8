import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {joinTunnel} from './join-tunnel.js';
import {onceTunnelSettled} from './once-tunnel-settled.js';
import type {TunnelEnds} from './tunnel-ends.js';
import type {TunnelOffers} from './tunnel-offers.js';

const ticketPattern = /^Bearer ([\da-f]+)$/;

type Tickets = {readonly offers: TunnelOffers; readonly ends: TunnelEnds};

/** Hands the connection that the request's ticket stands for to the peer at the other end of `peer`; closes `peer` if there is none. */
export const serveTunnel = (req: IncomingMessage, peer: Socket, {offers, ends}: Tickets): void => {
	const ticket = ticketPattern.exec(req.headers['proxy-authorization'] ?? '')?.[1];
	const target = ticket === undefined ? undefined : offers.take(ticket);
	if (ticket === undefined || !target) {
		peer.on('error', () => {
			peer.destroy();
		});
		peer.end('HTTP/1.1 407 Proxy Authentication Required\r\nConnection: close\r\n\r\n', () => {
			peer.destroy();
		});
		return;
	}

	peer.setNoDelay(true);
	peer.write('HTTP/1.1 200 OK\r\n\r\n');
	ends.follow(ticket, onceTunnelSettled(peer, target));
	joinTunnel(peer, target);
};
