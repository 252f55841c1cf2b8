import type {LogFields} from '@deckwheel/host-kit';
import type {EndpointEnds} from './endpoint-ends.js';
import {createExchange} from './lib/create-exchange.js';
import {createLearner} from './lib/create-learner.js';
import {createSuspicionTable} from './lib/create-suspicion-table.js';
import {successiveEnds} from './lib/successive-ends.js';
import type {LostRun} from './lost-run.js';
import type {Peer} from './peer.js';
import type {PoisonDetector} from './poison-detector.js';
import type {SuspicionsRequest} from './suspicions-request.js';
import type {SuspicionsReply} from './suspicions-reply.js';

/**
Between two rounds of gossip while a request is blocked, in ms: a host that comes back from a cut has heard of it within a few
rounds, well before it counts as in touch again.
*/
const gossipEveryMs = 1000;

type Options = {
	/** This host, as it is listed. */
	readonly self: () => Peer;
	/** All other hosts that are listed, of every hall. */
	readonly peers: () => readonly Peer[];
	/** Asks one peer; `undefined` when it does not answer in time. */
	readonly ask: (peer: Peer, question: SuspicionsRequest) => Promise<SuspicionsReply | undefined>;
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
Creates a detector that suspects no request, and starts its gossip.

A request is blocked once endpoints have ended under it one after the other (`successiveEnds`, `blockedUntil`), at whichever
hosts. Each host tells the collectors of a request (`collectorsOf`) what it saw; who finds that it is to be blocked tells its hall.
While one is blocked, hosts go on telling some others at random, so that one that was cut off, or has just started, hears too.
The store is not asked: it may be away, and a lost run would cost it a call.
*/
export const createPoisonDetector = ({self, peers, ask, ends, log, random, every, now}: Options): PoisonDetector => {
	const table = createSuspicionTable(now);
	const exchange = createExchange({
		table, learn: createLearner({table, log, now}), self, peers, ask, random, now,
	});

	const noteLost = async ({id, fingerprint, endpoint, sentAt}: LostRun): Promise<void> => {
		const endedAt = now();
		const hasEnded = await ends.hasEnded(endpoint);
		const request = fingerprint();
		log('run_lost', {
			id, request, endpoint: endpoint.id, after_ms: Math.round(endedAt - sentAt), endpoint_ended: hasEnded,
		});
		if (hasEnded) {
			exchange.spread(request, {ends: new Map([[endpoint.id, {sentAt, endedAt}]]), cleared: new Set()});
		}
	};

	return {
		noteLostRun(run) {
			void noteLost(run);
		},
		noteAnsweredRun(fingerprint) {
			if (table.isEmpty()) {
				return;
			}

			const request = fingerprint();
			const known = table.get(request);
			if (known && successiveEnds(known).length > 0) {
				exchange.spread(request, {ends: known.ends, cleared: new Set(known.ends.keys())});
			}
		},
		blockedUntil: fingerprint => table.isEmpty() ? undefined : table.blockedUntil(fingerprint()),
		answer: exchange.answer,
		notePeerList: exchange.gossip,
		close: every(gossipEveryMs, exchange.gossip),
	};
};
