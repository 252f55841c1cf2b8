import {setTimeout as sleep} from 'node:timers/promises';
import {openMesh, type Mesh} from '@deckwheel/mesh';
import type {ListedPeer} from '../listed-peer.js';
import type {Log} from '../log.js';
import type {PeerDirectory} from '../peer-directory.js';
import {peerMessageSchema} from './peer-message-schema.js';
import type {PeerLinks} from './peer-links.js';

const registerPauseMs = 500;

/** The directory is not read more often than this for a holder that is not listed. */
const listPauseMs = 2000;

/** Hosts that start together are all listed after this time. */
const settleMs = 1000;

/** When the directory is read once more after that, for hosts that came late. */
const readAgainMs = 4000;

/** A peer that did not answer is not counted on for this long. */
const suspicionMs = 3000;

type Options = {
	readonly self: ListedPeer;
	readonly hall: string;
	readonly directory: PeerDirectory;
	/** Answers a peer that asks for rights: all that it was ever given. */
	readonly lend: (to: string, budget: string, tokens: number, received: number) => Promise<number>;
	/** Takes rights that a peer hands back; `total` is all that it ever gave. */
	readonly takeBack: (from: string, budget: string, total: number) => void;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

const splitAddress = (address: string): {host: string; port: number} => {
	const [host, port] = address.split(':');
	return {host: host!, port: Number(port)};
};

/** Lists this host in the directory, listens for peers, and keeps the links to them. */
export const startPeerLinks = ({self, hall, directory, lend, takeBack, log, now}: Options): PeerLinks => {
	let mesh: Mesh | undefined;
	let peers: ReadonlyMap<string, ListedPeer> = new Map();
	let listAgainAt = 0;
	let isClosed = false;
	let isSettled = false;
	const suspectedUntil = new Map<string, number>();

	const list = async (): Promise<void> => {
		const listed = await directory.list();
		if (listed) {
			peers = new Map(listed.map(peer => [peer.holder, peer]));
			log('peers_listed', {count: peers.size});
		}
	};

	const relist = (): void => {
		if (now() > listAgainAt) {
			listAgainAt = now() + listPauseMs;
			void list();
		}
	};

	const join = async (): Promise<void> => {
		for (;;) {
			const secret = await directory.register(self);
			if (isClosed) {
				return;
			}

			if (secret !== undefined) {
				mesh = await openMesh({
					self: {incarnation: self.holder, hall},
					secret,
					listen: splitAddress(self.address),
					handlers: {
						async onRequest(from, body) {
							const message = peerMessageSchema.safeParse(body);
							if (!message.success) {
								return undefined;
							}

							const {data} = message;
							if (data.type === 'hand_back') {
								takeBack(from.incarnation, data.budget, data.total);
								return {};
							}

							return {lender: self.holder, total: await lend(from.incarnation, data.budget, data.tokens, data.received)};
						},
						onMessage: () => undefined,
					},
				});
				await list();
				await sleep(settleMs, undefined, {ref: false});
				await list();
				isSettled = true;
				await sleep(readAgainMs, undefined, {ref: false});
				await list();
				return;
			}

			await sleep(registerPauseMs);
		}
	};

	void join();
	return {
		mesh: () => mesh,
		peerOf(holder) {
			const peer = peers.get(holder);
			if (!peer && holder.includes('#')) {
				relist();
			}

			return peer;
		},
		hallPeers() {
			const near = [...peers.values()].filter(peer => peer.hall === hall && peer.holder !== self.holder && (suspectedUntil.get(peer.address) ?? 0) < now());
			return [self, ...near];
		},
		isSettled: () => isSettled,
		suspect(address) {
			suspectedUntil.set(address, now() + suspicionMs);
			relist();
		},
		async close() {
			isClosed = true;
			await mesh?.close();
		},
	};
};
