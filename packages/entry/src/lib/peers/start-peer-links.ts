import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '@deckwheel/core';
import {createTally} from '@deckwheel/host-kit';
import {openMesh, type Mesh} from '@deckwheel/mesh';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';
import {countPeerQuestions} from './count-peer-questions.js';
import {createPeerAnswerer} from './create-peer-answerer.js';
import {createPeerList} from './create-peer-list.js';
import type {PeerHandlers} from './peer-handlers.js';
import type {PeerLinks} from './peer-links.js';

/** Between two calls to a directory that is out of reach, in ms. */
const retryPauseMs = 500;

/**
The directory is not read more often than this for a holder that is not listed or a peer that is silent, in ms, so that
a death of many hosts brings one call and not one for each.
*/
const listPauseMs = 2000;

/** Hosts that start together are all listed after this time, in ms. */
const settleMs = 1000;

/** When the directory is read once more after that, for hosts that came late, in ms. */
const readAgainMs = 4000;

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
	let isClosed = false;
	let isSettled = false;
	/** The secret by which this host listens for peers. */
	let joinedWith: string | undefined;

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

	/** Calls the directory until it answers, or this host closes. */
	const untilDone = async <T>(ask: () => Promise<T | undefined>): Promise<T | undefined> => {
		for (;;) {
			const answered = await ask();
			if (answered !== undefined || isClosed) {
				return answered;
			}

			await sleep(retryPauseMs);
		}
	};

	// It was the link that was silent, and not the peer: hosts of a large hall that asked others meanwhile, or drew for
	// themselves, would go on doing so for the time of the suspicion.
	const noteReplaced = (address: string, quietMs: number): void => {
		peers.trust(address);
		log('link_replaced', {address, quiet_ms: Math.round(quietMs)});
		onLinkReplaced();
	};

	// A host listens before it is listed, so that no peer finds it listed and not listening.
	const listen = async (secret: string): Promise<void> => {
		const {host, port} = splitAddress(self.address);
		mesh = countPeerQuestions(await openMesh({
			self: {incarnation: self.holder, hall: self.hall},
			secret,
			listen: {host, port},
			handlers: {onRequest: answer, onMessage: () => undefined, onLinkReplaced: noteReplaced},
		}), createTally('peer_questions', log));
		peers.setSelf({...self, address: `${host}:${mesh.port}`});
	};

	const register = async (): Promise<void> => {
		await untilDone(async () => await directory.register(peers.self()) || undefined);
		await list();
	};

	// Others list themselves at about the same time.
	const registerAgain = async (secret: string): Promise<void> => {
		const shared = await untilDone(async () => directory.shareSecret(secret));
		if (shared !== secret) {
			log('peer_secret_replaced');
		}

		await register();
		await sleep(settleMs, undefined, {ref: false});
		await list();
	};

	const join = async (): Promise<void> => {
		const secret = await untilDone(async () => directory.shareSecret());
		if (secret === undefined || isClosed) {
			return;
		}

		await listen(secret);
		joinedWith = secret;
		await register();
		await sleep(settleMs, undefined, {ref: false});
		await list();
		isSettled = true;
		await sleep(readAgainMs, undefined, {ref: false});
		await list();
	};

	void join();
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
		isSettled: () => isSettled,
		hostNames: () => isSettled ? peers.names() : undefined,
		noteHost(peer, how) {
			if (how === 'heard' || !peers.names().hosts.includes(peer.address)) {
				peers.add(peer);
			}
		},
		register() {
			if (joinedWith !== undefined) {
				void registerAgain(joinedWith);
			}
		},
		suspect(address) {
			peers.suspect(address);
			relist();
		},
		async close() {
			isClosed = true;
			await mesh?.close();
		},
	};
};
