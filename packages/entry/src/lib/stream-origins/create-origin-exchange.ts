import {chunksOf, groupBy, pickInEachHall} from '@deckwheel/core';
import type {EventCounter} from '@deckwheel/host-kit';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {KeptOrigin} from './kept-origin.js';
import type {OriginTable} from './origin-table.js';
import type {HeardHalls} from './heard-halls.js';
import {judgeReplies} from './judge-replies.js';
import {toWireOrigin} from './to-wire-origin.js';
import type {OriginsMessage} from './wire/origins-message.js';
import type {OriginsReply} from './wire/origins-reply.js';

/** The number of hosts in each hall that keep the origin of one stream: two, since one may be down, or restart without what it kept. */
const keepersPerHall = 2;

/** The number of hosts in each hall that are asked: one more, since a host that joins takes the place of one that was told. */
const askedPerHall = keepersPerHall + 1;

/** The number of peers that are asked to read the store for this host. */
const storeReaderCount = 2;

/** How long they may take, in ms. */
const storeReadMs = 500;

/** The most origins that are sent in one message. */
const maxPerMessage = 100;

type Options = {
	/** This host, as it is listed in the directory. */
	readonly self: () => ListedPeer;
	/** All other listed hosts, of every hall. */
	readonly others: () => readonly ListedPeer[];
	/** Sends one peer a message and returns the peer's reply; `undefined` when no valid reply came in time, or within `timeoutMs`. */
	readonly sendOrigins: (address: string, message: Omit<OriginsMessage, 'type'>, timeoutMs?: number) => Promise<OriginsReply | undefined>;
	readonly table: Pick<OriginTable, 'get'>;
	/** The time within which a list of endpoints is confirmed again while its host gets answers of the store, in ms. */
	readonly listConfirmMs: number;
	/** Takes in what a peer replied. */
	readonly onReply: (reply: OriginsReply) => void;
	readonly counter: Pick<EventCounter, 'increment'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

const emptyMessage: Omit<OriginsMessage, 'type'> = {
	told: [], asked: [], services: [], wantsStored: false,
};

/** An origin, and the address of the peer that knew it. */
type FoundAtPeer = {readonly kept: KeptOrigin; readonly from: string};

/** What came of a question for an origin. */
type Answer = {
	/** `undefined` where no asked peer knows it. */
	readonly found: FoundAtPeer | undefined;
	/** What the replies cover, as `judgeReplies` decides. */
	readonly heard: HeardHalls;
	/** The addresses of peers that replied whose lists were confirmed recently, so that they reach the store. */
	readonly recent: readonly string[];
};

/** Tells peers where streams began, and asks them. */
type OriginExchange = {
	/** Tells the keepers of each stream its origin; resolves once one of them has taken some in, or none can. */
	readonly tell: (told: readonly KeptOrigin[]) => Promise<void>;
	/**
	Asks hosts of each hall for an origin, and for the versions of services. Resolves with the first origin that one knows, and otherwise once all have
	replied, or had the time to.
	*/
	readonly ask: (key: string, services: readonly string[]) => Promise<Answer>;
	/** Asks some of these peers to read the versions of services in the store; resolves with whether one of them has. */
	readonly readAtPeers: (addresses: readonly string[], services: readonly string[]) => Promise<boolean>;
};

/** Resolves with the first of some values that comes, and with `undefined` once none can come any more. */
const firstOf = async <T>(values: ReadonlyArray<Promise<T>>): Promise<T | undefined> => {
	try {
		return await Promise.any(values);
	} catch {
		// All were rejected, for want of a reply or of what was asked for; the counters tell how often.
		return undefined;
	}
};

/** Creates the exchange of a host with its peers. */
export const createOriginExchange = ({self, others, sendOrigins, table, listConfirmMs, onReply, counter, now}: Options): OriginExchange => {
	const peersFor = (key: string, perHall: number): readonly ListedPeer[] =>
		pickInEachHall(key, [self(), ...others()], perHall).filter(({address}) => address !== self().address);

	/** Sends a message to a peer, takes in the reply and returns it; rejects where none came. */
	const exchange = async (address: string, message: Partial<Omit<OriginsMessage, 'type'>>, timeoutMs?: number): Promise<OriginsReply> => {
		const reply = await sendOrigins(address, {...emptyMessage, ...message}, timeoutMs);
		if (!reply) {
			counter.increment('unanswered');
			throw new Error('no reply');
		}

		onReply(reply);
		return reply;
	};

	const askPeer = async (address: string, {key, services, listAges}: {readonly key: string; readonly services: readonly string[]; readonly listAges: Map<string, number>}): Promise<FoundAtPeer> => {
		const {listAgeMs} = await exchange(address, {asked: [key], services: [...services]});
		if (listAgeMs !== undefined) {
			listAges.set(address, listAgeMs);
		}

		const kept = table.get(key);
		if (!kept) {
			throw new Error('not known');
		}

		return {kept, from: address};
	};

	return {
		async tell(told) {
			const copies = told.flatMap(kept => peersFor(kept.key, keepersPerHall).map(({address}) => ({address, kept})));
			const messages = [...groupBy(copies, ({address}) => address)].flatMap(([address, entries]) =>
				chunksOf(entries, maxPerMessage).map(chunk => ({address, told: chunk.map(({kept}) => toWireOrigin(kept, now()))})));
			counter.increment('told', messages.length);
			await firstOf(messages.map(async message => exchange(message.address, {told: message.told})));
		},
		async ask(key, services) {
			const peers = peersFor(key, askedPerHall);
			counter.increment('asked', peers.length);
			const listAges = new Map<string, number>();
			const found = await firstOf(peers.map(async ({address}) => askPeer(address, {key, services, listAges})));
			const recent = [...listAges].filter(([, ageMs]) => ageMs <= listConfirmMs).map(([address]) => address);
			return {found, heard: judgeReplies(peers, listAges, listConfirmMs), recent};
		},
		async readAtPeers(addresses, services) {
			const replies = await Promise.allSettled(addresses.slice(0, storeReaderCount).map(async address =>
				exchange(address, {services: [...services], wantsStored: true}, storeReadMs)));
			return replies.some(reply => reply.status === 'fulfilled' && reply.value.isStoreRead);
		},
	};
};
