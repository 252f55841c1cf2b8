import type {Peer} from '../peer.js';
import type {PoisonDetector} from '../poison-detector.js';
import type {SuspicionsRequest} from '../suspicions-request.js';
import type {SuspicionsReply} from '../suspicions-reply.js';
import {collectorsOf} from './collectors-of.js';
import type {Learn} from './create-learner.js';
import {hearSuspicion} from './hear-suspicion.js';
import {isBlockedAt} from './is-blocked-at.js';
import {noSuspicion} from './no-suspicion.js';
import {pickGossipPeers} from './pick-gossip-peers.js';
import type {SuspicionTable} from './suspicion-table.js';
import type {Suspicion} from './suspicion.js';
import {tellSuspicion} from './tell-suspicion.js';

/** Blocked requests told in one message, those that were asked for last first: a bound on its size. */
const maxTold = 20;

type Options = {
	readonly table: SuspicionTable;
	readonly learn: Learn;
	/** This host, as it is listed. */
	readonly self: () => Peer;
	/** All other hosts that are listed, of every hall. */
	readonly peers: () => readonly Peer[];
	/** Asks one peer; `undefined` when it does not answer in time. */
	readonly ask: (peer: Peer, question: SuspicionsRequest) => Promise<SuspicionsReply | undefined>;
	/** From 0 up to 1. */
	readonly random: () => number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** What hosts tell each other of suspected requests. */
type Exchange = Pick<PoisonDetector, 'answer'> & {
	/** Takes in what this host saw itself, and tells who has to know. */
	readonly spread: (request: string, seen: Suspicion) => void;
	/** Tells some peers at random what is blocked, and asks them for what they know; nothing once they were asked, where nothing is blocked. */
	readonly gossip: () => void;
};

/** Creates the exchange of a host that has asked nobody yet. */
export const createExchange = ({table, learn, self, peers, ask, random, now}: Options): Exchange => {
	let hasHeardOfBlocked = false;

	const tell = (request: string): SuspicionsRequest['suspicions'] => [tellSuspicion(request, table.get(request) ?? noSuspicion, now())];

	const tellBlocked = (): SuspicionsRequest['suspicions'] => table.blocked().slice(0, maxTold).flatMap(request => tell(request));

	const talkTo = async (peer: Peer, question: SuspicionsRequest): Promise<void> => {
		const reply = await ask(peer, question);
		hasHeardOfBlocked ||= reply !== undefined && question.wantsBlocked;
		for (const told of reply?.suspicions ?? []) {
			if (learn(told.request, hearSuspicion(told, now()))) {
				spreadInHall(told.request);
			}
		}
	};

	const talkToAll = (some: readonly Peer[], question: SuspicionsRequest): void => {
		for (const peer of some) {
			void talkTo(peer, question);
		}
	};

	const spreadInHall = (request: string): void => {
		talkToAll(peers().filter(({hall}) => hall === self().hall), {suspicions: tell(request), wantsBlocked: false});
	};

	/** Whether who told it knew already what it means, and so has told its own hall. */
	const hasToldHall = (hall: string, request: string, heard: Suspicion): boolean =>
		hall === self().hall && isBlockedAt(heard, now()) === (table.blockedUntil(request) !== undefined);

	return {
		spread(request, seen) {
			if (learn(request, seen)) {
				spreadInHall(request);
			}

			const collectors = collectorsOf(request, [self(), ...peers()]).filter(({address}) => address !== self().address);
			talkToAll(collectors, {suspicions: tell(request), wantsBlocked: false});
		},
		answer(hall, {suspicions, wantsBlocked}) {
			for (const told of suspicions) {
				const {request} = told;
				const heard = hearSuspicion(told, now());
				if (learn(request, heard) && !hasToldHall(hall, request, heard)) {
					spreadInHall(request);
				}
			}

			return {suspicions: [...suspicions.flatMap(({request}) => tell(request)), ...(wantsBlocked ? tellBlocked() : [])]};
		},
		gossip() {
			const suspicions = tellBlocked();
			if (suspicions.length > 0 || !hasHeardOfBlocked) {
				talkToAll(pickGossipPeers(self().hall, peers(), random), {suspicions, wantsBlocked: true});
			}
		},
	};
};
