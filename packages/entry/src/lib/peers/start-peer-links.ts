import {splitAddress} from '@deckwheel/core';
import {createEventCounter} from '@deckwheel/host-kit';
import {openMesh, type Mesh} from '@deckwheel/mesh';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';
import {countPeerQuestions} from './count-peer-questions.js';
import {createPeerAnswerer} from './create-peer-answerer.js';
import {createPeerList} from './create-peer-list.js';
import {createRegistration} from './create-registration.js';
import type {PeerHandlers} from './peer-handlers.js';
import type {PeerLinks} from './peer-links.js';

/**
The directory is not read more often than this for a holder that is not listed or a peer that is silent, in ms, so that
a death of many hosts brings one call and not one for each.
*/
const listPauseMs = 2000;

type Options = PeerHandlers & {
	readonly self: ListedPeer;
	readonly directory: PeerDirectory;
	readonly log: Log;
	/** Called when the directory was read. */
	readonly onListed: () => void;
	/** Called when a link that carried nothing any more was replaced. */
	readonly onLinkReplaced: () => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Lists this host in the directory, listens for peers, and keeps the links to them.

It owns the links (by `mesh`) and the list of peers; who of the hall is counted on is decided by `viewHall`.
*/
export const startPeerLinks = ({self, directory, log, onListed, onLinkReplaced, now, ...handlers}: Options): PeerLinks => {
	const peers = createPeerList(self, now);
	const answer = createPeerAnswerer({...handlers, holder: self.holder, log});
	let mesh: Mesh | undefined;
	let listAgainAt = 0;

	const list = async (): Promise<void> => {
		const found = await directory.list();
		if (found) {
			peers.setListed(found);
			log('peers_listed', {count: found.length});
			onListed();
		}
	};

	const relist = (): void => {
		if (now() > listAgainAt) {
			listAgainAt = now() + listPauseMs;
			void list();
		}
	};

	// It was the link that was silent, and not the peer: hosts of a large hall that asked others meanwhile, or drew for
	// themselves, would go on doing so for the time of the suspicion.
	const noteReplaced = (address: string, quietMs: number): void => {
		peers.trust(address);
		log('link_replaced', {address, quiet_ms: Math.round(quietMs)});
		onLinkReplaced();
	};

	const listen = async (secret: string): Promise<void> => {
		const {host, port} = splitAddress(self.address);
		mesh = countPeerQuestions(await openMesh({
			self: {incarnation: self.holder, hall: self.hall},
			secret,
			listen: {host, port},
			handlers: {onRequest: answer, onMessage: () => undefined, onLinkReplaced: noteReplaced},
		}), createEventCounter('peer_questions', log));
		peers.setSelf({...self, address: `${host}:${mesh.port}`});
	};

	const registration = createRegistration({
		directory, self: peers.self, listen, list, log,
	});
	void registration.start();
	return {
		mesh: () => mesh,
		self: peers.self,
		others: peers.others,
		peerOf(holder) {
			const peer = peers.ofHolder(holder);
			// Names without a `#` stand for lives that have ended.
			if (!peer && holder.includes('#')) {
				relist();
			}

			return peer;
		},
		hallPeers: () => peers.hall().peers,
		hallSize: () => peers.hall().size,
		isPeerListKnown: registration.isSettled,
		hostNames: () => registration.isSettled() ? peers.names() : undefined,
		noteHost(peer, how) {
			if (how === 'direct' || !peers.names().hosts.includes(peer.address)) {
				peers.add(peer);
			}
		},
		register() {
			void registration.renew();
		},
		suspect(address) {
			peers.suspect(address);
			relist();
		},
		async close() {
			registration.close();
			await mesh?.close();
		},
	};
};
