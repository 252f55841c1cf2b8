import {splitAddress, stackOf} from '@deckwheel/core';
import {createEventCounter} from '@deckwheel/host-kit';
import {openMesh, type Mesh, type Tunnels} from '@deckwheel/mesh';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';
import {countPeerRequests} from './count-peer-requests.js';
import {createPeerRequestHandler} from './create-peer-request-handler.js';
import {createPeerList} from './create-peer-list.js';
import {createRegistration} from './create-registration.js';
import type {PeerHandlers} from './peer-handlers.js';
import type {PeerLinks} from './peer-links.js';
import type {ReplyTracker} from './reply-tracker.js';

/**
The shortest time between two reads of the directory for unlisted holders and for peers that do not reply, in ms: a crash of many hosts
causes one call and not one for each host.
*/
const minReadIntervalMs = 2000;

type Options = PeerHandlers & {
	readonly self: ListedPeer;
	readonly directory: PeerDirectory;
	readonly log: Log;
	/** Called after each successful read of the directory. */
	readonly onListed: () => void;
	/** Called when a link over which nothing arrived any more was replaced by a new one. */
	readonly onLinkReplaced: () => void;
	readonly replies: ReplyTracker;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Lists this host in the directory, listens for peers, and keeps the links to them.

It owns the links (by `mesh`) and the peer list; which hosts of the hall count as reachable is decided by `viewHall`.
*/
export const startPeerLinks = ({self, directory, log, onListed, onLinkReplaced, replies, now, ...handlers}: Options): PeerLinks => {
	const peers = createPeerList(self, now);
	const handleRequest = createPeerRequestHandler({
		...handlers, holder: self.holder, log, now,
	});
	let mesh: Mesh | undefined;
	let tunnels: Tunnels | undefined;
	let nextReadAt = 0;

	const readPeerList = async (): Promise<boolean> => {
		const listed = await directory.list();
		if (!listed) {
			return false;
		}

		peers.setListed(listed);
		log('peers_listed', {count: listed.length});
		onListed();
		return true;
	};

	const tryReadPeerList = async (): Promise<void> => {
		try {
			await readPeerList();
		} catch (error) {
			log('peer_list_failed', {stack: stackOf(error)});
		}
	};

	const rereadPeerList = (): void => {
		if (now() > nextReadAt) {
			nextReadAt = now() + minReadIntervalMs;
			void tryReadPeerList();
		}
	};

	// The link had failed and not the peer, so the suspicion of the peer ends. Otherwise this host would send its requests to other
	// peers, or draw rights from the store itself, until the suspicion expires.
	const noteLinkReplaced = (address: string, quietMs: number): void => {
		peers.trust(address);
		log('link_replaced', {address, quiet_ms: Math.round(quietMs)});
		onLinkReplaced();
	};

	const listen = async (secret: string): Promise<void> => {
		const {host, port} = splitAddress(self.address);
		const opened = await openMesh({
			self: {incarnation: self.holder, hall: self.hall},
			secret,
			listen: {host, port},
			handlers: {onRequest: handleRequest, onMessage: () => undefined, onLinkReplaced: noteLinkReplaced},
		});
		tunnels = opened.tunnels;
		mesh = countPeerRequests(opened, createEventCounter('peer_questions', log), replies);
		peers.setSelf({...self, address: `${host}:${mesh.port}`});
	};

	const registration = createRegistration({
		directory, self: peers.self, listen, readPeerList, log,
	});
	void registration.start();
	return {
		mesh: () => mesh,
		tunnels: () => tunnels,
		self: peers.self,
		others: peers.others,
		peerOf(holder) {
			const peer = peers.findByHolder(holder);
			// A holder's name without a `#` stands for incarnations that have ended, so reading the directory again could not find it.
			if (!peer && holder.includes('#')) {
				rereadPeerList();
			}

			return peer;
		},
		hallPeers: () => peers.hallView().peers,
		hallSize: () => peers.hallView().size,
		isPeerListKnown: registration.isSettled,
		hostNames: () => registration.isSettled() ? peers.hostNames() : undefined,
		noteHost(peer, how) {
			if (how === 'direct' || !peers.hostNames().hosts.includes(peer.address)) {
				peers.add(peer);
			}
		},
		register() {
			void registration.renew();
		},
		suspect(address) {
			peers.suspect(address);
			rereadPeerList();
		},
		async close() {
			registration.close();
			await mesh?.close();
		},
	};
};
