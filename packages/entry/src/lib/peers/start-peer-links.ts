import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '@deckwheel/core';
import {openMesh, type Identity, type Mesh} from '@deckwheel/mesh';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';
import type {LoanReply} from '../lending/loan-reply.js';
import type {LoanRequest} from '../lending/loan-request.js';
import type {ChangeReply} from '../store-changes/change-reply.js';
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
	/** Answers a peer that asks for rights. */
	readonly lend: (to: string, request: LoanRequest) => Promise<LoanReply>;
	/** Takes rights that a peer hands back; `total` is all that it ever gave. */
	readonly takeBack: (from: string, budget: string, total: number) => void;
	/** Answers a peer that asks whether something changed in the store. */
	readonly answerChanges: (topic: string, after: number, holdMs: number) => Promise<ChangeReply>;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Lists this host in the directory, listens for peers, and keeps the links to them. */
export const startPeerLinks = ({self, hall, directory, lend, takeBack, answerChanges, log, now}: Options): PeerLinks => {
	let mesh: Mesh | undefined;
	/** This host as its peers find it. */
	let listed = self;
	let peers: ReadonlyMap<string, ListedPeer> = new Map();
	let listAgainAt = 0;
	let isClosed = false;
	let isSettled = false;
	const suspectedUntil = new Map<string, number>();
	let hallPeers: readonly ListedPeer[] = [self];
	let hallSize = 1;
	/** When the hall's peers have to be found again; monotonic ms. */
	let hallChangesAt = 0;

	const list = async (): Promise<void> => {
		const found = await directory.list();
		if (found) {
			peers = new Map(found.map(peer => [peer.holder, peer]));
			hallChangesAt = 0;
			log('peers_listed', {count: peers.size});
		}
	};

	// Suspicions end with time, so the hall is looked over again when the first of them does.
	const findHallPeers = (): void => {
		if (now() < hallChangesAt) {
			return;
		}

		for (const [address, until] of suspectedUntil) {
			if (until <= now()) {
				suspectedUntil.delete(address);
			}
		}

		const near = [...peers.values()].filter(peer => peer.hall === hall && peer.address !== listed.address);
		hallSize = near.length + 1;
		hallPeers = [listed, ...near.filter(({address}) => !suspectedUntil.has(address))];
		hallChangesAt = Math.min(Number.POSITIVE_INFINITY, ...suspectedUntil.values());
	};

	const relist = (): void => {
		if (now() > listAgainAt) {
			listAgainAt = now() + listPauseMs;
			void list();
		}
	};

	const answer = async (from: Identity, body: unknown): Promise<unknown> => {
		const message = peerMessageSchema.safeParse(body);
		if (!message.success) {
			return undefined;
		}

		const {data} = message;
		if (data.type === 'hand_back') {
			takeBack(from.incarnation, data.budget, data.total);
			return {};
		}

		if (data.type === 'news') {
			return answerChanges(data.topic, data.after, data.holdMs);
		}

		return {lender: listed.holder, ...await lend(from.incarnation, data)};
	};

	/** Calls the directory until it answers, or this host closes. */
	const untilDone = async <T>(ask: () => Promise<T | undefined>): Promise<T | undefined> => {
		for (;;) {
			const answered = await ask();
			if (answered !== undefined || isClosed) {
				return answered;
			}

			await sleep(registerPauseMs);
		}
	};

	// A host listens before it is listed, so that peers never find it deaf.
	const listen = async (secret: string): Promise<void> => {
		const {host, port} = splitAddress(self.address);
		mesh = await openMesh({
			self: {incarnation: self.holder, hall},
			secret,
			listen: {host, port},
			handlers: {onRequest: answer, onMessage: () => undefined},
		});
		listed = {...self, address: `${host}:${mesh.port}`};
		hallChangesAt = 0;
	};

	const join = async (): Promise<void> => {
		const secret = await untilDone(directory.shareSecret);
		if (secret === undefined || isClosed) {
			return;
		}

		await listen(secret);
		await untilDone(async () => await directory.register(listed) || undefined);
		await list();
		await sleep(settleMs, undefined, {ref: false});
		await list();
		isSettled = true;
		await sleep(readAgainMs, undefined, {ref: false});
		await list();
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
			findHallPeers();
			return hallPeers;
		},
		hallSize() {
			findHallPeers();
			return hallSize;
		},
		isSettled: () => isSettled,
		suspect(address) {
			suspectedUntil.set(address, now() + suspicionMs);
			hallChangesAt = 0;
			relist();
		},
		async close() {
			isClosed = true;
			await mesh?.close();
		},
	};
};
