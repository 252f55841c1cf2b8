import type {LogFields} from '@deckwheel/host-kit';
import type {Peer} from './peer.js';
import {createSuspicionTable} from './lib/create-suspicion-table.js';
import type {EndpointEnds} from './endpoint-ends.js';
import {hearSuspicion} from './lib/hear-suspicion.js';
import {isBlockedAt} from './lib/is-blocked-at.js';
import {collectorsOf} from './lib/collectors-of.js';
import type {LostRun} from './lost-run.js';
import {noSuspicion} from './lib/no-suspicion.js';
import {pickGossipPeers} from './lib/pick-gossip-peers.js';
import type {PoisonWatch} from './poison-watch.js';
import {successiveEnds} from './lib/successive-ends.js';
import type {Suspicion} from './lib/suspicion.js';
import type {SuspicionsQuestion} from './suspicions-question.js';
import type {SuspicionsReply} from './suspicions-reply.js';
import {tellSuspicion} from './lib/tell-suspicion.js';

/**
Between two rounds of gossip while a request is blocked, in ms: a host that comes back from a cut has heard of it within a few
rounds, well before it counts as in touch again.
*/
const gossipEveryMs = 1000;

/** Blocked requests told in one message, those that were asked for last first: a bound on its size. */
const maxTold = 20;

type Options = {
	/** This host, as it is listed. */
	readonly self: () => Peer;
	/** All other hosts that are listed, of every hall. */
	readonly peers: () => readonly Peer[];
	/** Asks one peer; `undefined` when it does not answer in time. */
	readonly ask: (peer: Peer, question: SuspicionsQuestion) => Promise<SuspicionsReply | undefined>;
	readonly ends: EndpointEnds;
	/** Writes one line of key=value pairs for an event. */
	readonly log: (event: string, fields: LogFields) => void;
	/** From 0 up to 1. */
	readonly random: () => number;
	/** Calls back again and again; returns what ends it. */
	readonly every: (pauseMs: number, callback: () => void) => () => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates a watch that suspects no request, and starts its gossip.

A request is blocked once endpoints have ended under it one after the other (`successiveEnds`, `blockedUntil`), at whichever
hosts. Each host tells the collectors of a request (`collectorsOf`) what it saw; who finds that it is to be blocked tells its hall.
While one is blocked, hosts go on telling some others at random, so that one that was cut off, or has just started, hears too.
The store is not asked: it may be away, and a lost run would cost it a call.
*/
export const createPoisonWatch = ({self, peers, ask, ends, log, random, every, now}: Options): PoisonWatch => {
	const table = createSuspicionTable(now);
	let hasAsked = false;

	const tell = (request: string): SuspicionsQuestion['suspicions'] => [tellSuspicion(request, table.get(request) ?? noSuspicion, now())];

	const tellBlocked = (): SuspicionsQuestion['suspicions'] => table.blocked().slice(0, maxTold).flatMap(request => tell(request));

	const logChange = (request: string, until: number | undefined): void => {
		if (until === undefined) {
			log('request_unblocked', {request});
			return;
		}

		const {ends: known, cleared} = table.get(request)!;
		log('request_blocked', {
			request, for_ms: Math.round(until - now()), endpoints: [...known.keys()].filter(endpoint => !cleared.has(endpoint)).join(','),
		});
	};

	/** Takes in what was learnt of a request, and tells whether it is blocked or let go by that. */
	const learn = (request: string, learnt: Suspicion): boolean => {
		const before = table.blockedUntil(request);
		table.merge(request, learnt);
		const after = table.blockedUntil(request);
		const isTurned = (before === undefined) !== (after === undefined);
		if (isTurned) {
			logChange(request, after);
		}

		return isTurned;
	};

	const talkTo = async (peer: Peer, question: SuspicionsQuestion): Promise<void> => {
		const reply = await ask(peer, question);
		if (!reply) {
			return;
		}

		hasAsked = true;
		for (const told of reply.suspicions) {
			if (learn(told.request, hearSuspicion(told, now()))) {
				spreadInHall(told.request);
			}
		}
	};

	const talkToAll = (some: readonly Peer[], question: SuspicionsQuestion): void => {
		for (const peer of some) {
			void talkTo(peer, question);
		}
	};

	const spreadInHall = (request: string): void => {
		talkToAll(peers().filter(({hall}) => hall === self().hall), {suspicions: tell(request), wantsBlocked: false});
	};

	const spread = (request: string, learnt: Suspicion): void => {
		if (learn(request, learnt)) {
			spreadInHall(request);
		}

		const collectors = collectorsOf(request, [self(), ...peers()]).filter(({address}) => address !== self().address);
		talkToAll(collectors, {suspicions: tell(request), wantsBlocked: false});
	};

	const gossip = (suspicions: SuspicionsQuestion['suspicions']): void => {
		talkToAll(pickGossipPeers(self().hall, peers(), random), {suspicions, wantsBlocked: true});
	};

	const noteLost = async ({id, fingerprint, endpoint, sentAt}: LostRun): Promise<void> => {
		const endedAt = now();
		const hasEnded = await ends.hasEnded(endpoint);
		const request = fingerprint();
		log('run_lost', {
			id, request, endpoint: endpoint.id, after_ms: Math.round(endedAt - sentAt), endpoint_ended: hasEnded,
		});
		if (hasEnded) {
			spread(request, {ends: new Map([[endpoint.id, {sentAt, endedAt}]]), cleared: new Set()});
		}
	};

	const stopGossip = every(gossipEveryMs, () => {
		const blocked = tellBlocked();
		if (blocked.length > 0 || !hasAsked) {
			gossip(blocked);
		}
	});

	return {
		runLost(run) {
			void noteLost(run);
		},
		runAnswered(fingerprint) {
			if (table.isEmpty()) {
				return;
			}

			const request = fingerprint();
			const known = table.get(request);
			if (known && successiveEnds(known).length > 0) {
				spread(request, {ends: known.ends, cleared: new Set(known.ends.keys())});
			}
		},
		blockedUntil: fingerprint => table.isEmpty() ? undefined : table.blockedUntil(fingerprint()),
		answer(hall, {suspicions, wantsBlocked}) {
			for (const told of suspicions) {
				const heard = hearSuspicion(told, now());
				const isTurned = learn(told.request, heard);
				// Who knew it already has told its own hall.
				const hasHallHeard = hall === self().hall && isBlockedAt(heard, now()) === (table.blockedUntil(told.request) !== undefined);
				if (isTurned && !hasHallHeard) {
					spreadInHall(told.request);
				}
			}

			return {suspicions: [...suspicions.flatMap(({request}) => tell(request)), ...(wantsBlocked ? tellBlocked() : [])]};
		},
		peersListed() {
			if (!hasAsked && peers().length > 0) {
				gossip([]);
			}
		},
		close: stopGossip,
	};
};
