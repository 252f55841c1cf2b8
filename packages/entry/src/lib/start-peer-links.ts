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

type Options = {
	readonly self: ListedPeer;
	readonly hall: string;
	readonly directory: PeerDirectory;
	/** Answers a peer that asks for rights: all that it was ever given. */
	readonly lend: (to: string, budget: string, tokens: number) => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

const splitAddress = (address: string): {host: string; port: number} => {
	const [host, port] = address.split(':');
	return {host: host!, port: Number(port)};
};

/** Lists this host in the directory, listens for peers, and keeps the links to them. */
export const startPeerLinks = ({self, hall, directory, lend, log, now}: Options): PeerLinks => {
	let mesh: Mesh | undefined;
	let peers: ReadonlyMap<string, ListedPeer> = new Map();
	let listAgainAt = 0;
	let isClosed = false;

	const list = async (): Promise<void> => {
		const listed = await directory.list();
		if (listed) {
			peers = new Map(listed.map(peer => [peer.holder, peer]));
			log('peers_listed', {count: peers.size});
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
							return message.success ? {lender: self.holder, total: lend(from.incarnation, message.data.budget, message.data.tokens)} : undefined;
						},
						onMessage: () => undefined,
					},
				});
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
			if (!peer && holder.includes('#') && now() > listAgainAt) {
				listAgainAt = now() + listPauseMs;
				void list();
			}

			return peer;
		},
		async close() {
			isClosed = true;
			await mesh?.close();
		},
	};
};
