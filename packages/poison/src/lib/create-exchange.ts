import {chunksOf} from '@deckwheel/core';
import type {Peer} from '../peer.js';
import type {PoisonDetector} from '../poison-detector.js';
import type {SuspicionsRequest} from '../suspicions-request.js';
import type {SuspicionsReply} from '../suspicions-reply.js';
import type {BlockList} from './blocking/block-list.js';
import {blockPhaseAt} from './blocking/block-phase-at.js';
import type {RecordSuspicions} from './create-suspicion-recorder.js';
import {fromWireSuspicion} from './from-wire-suspicion.js';
import {noSuspicion} from './no-suspicion.js';
import {pickGossipPeers} from './pick-gossip-peers.js';
import {subjectsByCollector} from './subjects-by-collector.js';
import type {SuspicionTable} from './suspicion-table.js';
import type {Suspicion} from './suspicion.js';
import {toWireSuspicion} from './to-wire-suspicion.js';

/** The most blocked subjects sent in one message of gossip: a bound on the message's size. */
const maxBlockedPerMessage = 20;

/** The most subjects that are sent in one message. */
const maxPerMessage = 50;

type Options = {
	readonly table: SuspicionTable;
	readonly recordSuspicions: RecordSuspicions;
	readonly blockList: Pick<BlockList, 'blocked'>;
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

/** Exchanges suspicions with the peers of a host. */
type Exchange = Pick<PoisonDetector, 'answer'> & {
	/** Records what this host observed itself and sends it to the collectors of each subject; a new block or the end of a block also to the hall. */
	readonly publish: (observed: ReadonlyMap<string, Suspicion>) => void;
	/**
	Sends the blocked subjects to a few random peers and asks for theirs. Does nothing when this host has no blocked subject and a peer
	has already replied with its own.
	*/
	readonly gossip: () => void;
};

/** Creates the exchange of a host that has not asked any peer for its blocked subjects yet. */
export const createExchange = ({table, recordSuspicions, blockList, self, peers, sendRequest, random, now}: Options): Exchange => {
	let hasReceivedBlocked = false;

	const toWire = (subjects: readonly string[]): SuspicionsRequest['suspicions'] =>
		subjects.map(subject => toWireSuspicion(subject, table.get(subject) ?? noSuspicion, now()));

	const fromWire = (suspicions: SuspicionsRequest['suspicions']): ReadonlyMap<string, Suspicion> =>
		new Map(suspicions.map(suspicion => [suspicion.request, fromWireSuspicion(suspicion, now())]));

	const blockedToWire = (): SuspicionsRequest['suspicions'] => toWire(blockList.blocked().slice(0, maxBlockedPerMessage));

	const exchangeWith = async (peer: Peer, message: SuspicionsRequest): Promise<void> => {
		const reply = await sendRequest(peer, message);
		hasReceivedBlocked ||= reply !== undefined && message.wantsBlocked;
		if (reply) {
			publishInHall(recordSuspicions(fromWire(reply.suspicions)));
		}
	};

	const send = (peer: Peer, subjects: readonly string[]): void => {
		for (const chunk of chunksOf(subjects, maxPerMessage)) {
			void exchangeWith(peer, {suspicions: toWire(chunk), wantsBlocked: false});
		}
	};

	const publishInHall = (subjects: readonly string[]): void => {
		for (const peer of peers().filter(({hall}) => hall === self().hall)) {
			send(peer, subjects);
		}
	};

	const sendToCollectors = (subjects: readonly string[]): void => {
		for (const share of subjectsByCollector(subjects, [self(), ...peers()])) {
			if (share.collector.address !== self().address) {
				send(share.collector, share.subjects);
			}
		}
	};

	/** Whether a peer in `hall` is of this hall and drew the same conclusion from the suspicion that it sent, and so has told this hall. */
	const hasSenderInformedHall = (hall: string, subject: string, received: Suspicion): boolean =>
		hall === self().hall && blockPhaseAt(received, now()) === blockPhaseAt(table.get(subject), now());

	return {
		publish(observed) {
			publishInHall(recordSuspicions(observed));
			sendToCollectors([...observed.keys()]);
		},
		answer(hall, {suspicions, wantsBlocked}) {
			const received = fromWire(suspicions);
			publishInHall(recordSuspicions(received).filter(subject => !hasSenderInformedHall(hall, subject, received.get(subject)!)));
			return {suspicions: [...toWire([...received.keys()]), ...(wantsBlocked ? blockedToWire() : [])]};
		},
		gossip() {
			const suspicions = blockedToWire();
			if (suspicions.length > 0 || !hasReceivedBlocked) {
				for (const peer of pickGossipPeers(self().hall, peers(), random)) {
					void exchangeWith(peer, {suspicions, wantsBlocked: true});
				}
			}
		},
	};
};
