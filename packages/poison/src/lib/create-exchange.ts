import type {Peer} from '../peer.js';
import type {PoisonDetector} from '../poison-detector.js';
import type {SuspicionsRequest} from '../suspicions-request.js';
import type {SuspicionsReply} from '../suspicions-reply.js';
import {collectorsOf} from './collectors-of.js';
import type {RecordSuspicion} from './create-suspicion-recorder.js';
import {fromWireSuspicion} from './from-wire-suspicion.js';
import {isBlockedAt} from './is-blocked-at.js';
import {noSuspicion} from './no-suspicion.js';
import {pickGossipPeers} from './pick-gossip-peers.js';
import type {SuspicionTable} from './suspicion-table.js';
import type {Suspicion} from './suspicion.js';
import {toWireSuspicion} from './to-wire-suspicion.js';

/** The most blocked requests sent in one message, the most recently used first: a bound on the message's size. */
const maxBlockedPerMessage = 20;

type Options = {
	readonly table: SuspicionTable;
	readonly recordSuspicion: RecordSuspicion;
	/** This host, as it stands in the peer list. */
	readonly self: () => Peer;
	/** All other hosts of the peer list, of every hall. */
	readonly peers: () => readonly Peer[];
	/** Sends one peer a message and returns the peer's reply; `undefined` when no valid reply came in time. */
	readonly sendRequest: (peer: Peer, message: SuspicionsRequest) => Promise<SuspicionsReply | undefined>;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
	/** The time in monotonic ms. */
	readonly now: () => number;
};

/** Exchanges suspicions of requests with the peers of a host. */
type Exchange = Pick<PoisonDetector, 'answer'> & {
	/** Records what this host observed itself and sends it to the request's collectors; a new block or the end of a block also to the hall. */
	readonly publish: (request: string, observed: Suspicion) => void;
	/**
	Sends the blocked requests to a few random peers and asks for theirs. Does nothing when this host has no blocked request and a peer
	has already replied with its own.
	*/
	readonly gossip: () => void;
};

/** Creates the exchange of a host that has not asked any peer for its blocked requests yet. */
export const createExchange = ({table, recordSuspicion, self, peers, sendRequest, random, now}: Options): Exchange => {
	let hasReceivedBlocked = false;

	const toWire = (request: string): SuspicionsRequest['suspicions'] => [toWireSuspicion(request, table.get(request) ?? noSuspicion, now())];

	const blockedToWire = (): SuspicionsRequest['suspicions'] => table.blockedRequests().slice(0, maxBlockedPerMessage).flatMap(request => toWire(request));

	const exchangeWith = async (peer: Peer, message: SuspicionsRequest): Promise<void> => {
		const reply = await sendRequest(peer, message);
		hasReceivedBlocked ||= reply !== undefined && message.wantsBlocked;
		for (const wireSuspicion of reply?.suspicions ?? []) {
			if (recordSuspicion(wireSuspicion.request, fromWireSuspicion(wireSuspicion, now()))) {
				publishInHall(wireSuspicion.request);
			}
		}
	};

	const exchangeWithAll = (recipients: readonly Peer[], message: SuspicionsRequest): void => {
		for (const peer of recipients) {
			void exchangeWith(peer, message);
		}
	};

	const publishInHall = (request: string): void => {
		exchangeWithAll(peers().filter(({hall}) => hall === self().hall), {suspicions: toWire(request), wantsBlocked: false});
	};

	/** Whether a peer in `hall` is of this hall and drew the same conclusion from the suspicion that it sent, and so has told this hall. */
	const hasSenderInformedHall = (hall: string, request: string, received: Suspicion): boolean =>
		hall === self().hall && isBlockedAt(received, now()) === (table.blockedUntil(request) !== undefined);

	return {
		publish(request, observed) {
			if (recordSuspicion(request, observed)) {
				publishInHall(request);
			}

			const collectors = collectorsOf(request, [self(), ...peers()]).filter(({address}) => address !== self().address);
			exchangeWithAll(collectors, {suspicions: toWire(request), wantsBlocked: false});
		},
		answer(hall, {suspicions, wantsBlocked}) {
			for (const wireSuspicion of suspicions) {
				const {request} = wireSuspicion;
				const received = fromWireSuspicion(wireSuspicion, now());
				if (recordSuspicion(request, received) && !hasSenderInformedHall(hall, request, received)) {
					publishInHall(request);
				}
			}

			return {suspicions: [...suspicions.flatMap(({request}) => toWire(request)), ...(wantsBlocked ? blockedToWire() : [])]};
		},
		gossip() {
			const suspicions = blockedToWire();
			if (suspicions.length > 0 || !hasReceivedBlocked) {
				exchangeWithAll(pickGossipPeers(self().hall, peers(), random), {suspicions, wantsBlocked: true});
			}
		},
	};
};
