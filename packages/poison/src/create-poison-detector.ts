import type {LogFields} from '@deckwheel/host-kit';
import type {CrashDetector} from './crash-detector.js';
import {createExchange} from './lib/create-exchange.js';
import {createSuspicionRecorder} from './lib/create-suspicion-recorder.js';
import {createSuspicionTable} from './lib/create-suspicion-table.js';
import {successiveCrashes} from './lib/successive-crashes.js';
import type {LostRun} from './lost-run.js';
import type {Peer} from './peer.js';
import type {PoisonDetector} from './poison-detector.js';
import type {SuspicionsRequest} from './suspicions-request.js';
import type {SuspicionsReply} from './suspicions-reply.js';

/**
The time between two rounds of gossip while a request is blocked, in ms. A host that reconnects after a network partition learns of
a blocked request within a few rounds, well before the host counts as in touch again.
*/
const gossipIntervalMs = 1000;

type Options = {
	/** This host, as it stands in the peer list. */
	readonly self: () => Peer;
	/** All other hosts of the peer list, of every hall. */
	readonly peers: () => readonly Peer[];
	/** Sends one peer a message and returns the peer's reply; `undefined` when no valid reply came in time. */
	readonly sendRequest: (peer: Peer, message: SuspicionsRequest) => Promise<SuspicionsReply | undefined>;
	/** Tells whether the endpoint of a lost run crashed. */
	readonly crashDetector: CrashDetector;
	/** Called with the id of an endpoint that crashed, after each lost run there. */
	readonly onCrashed?: (endpoint: string) => void;
	/** Writes one log line of key=value pairs for an event. */
	readonly log: (event: string, fields: LogFields) => void;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
	/** Calls a function every `pauseMs` ms; returns a function that stops the calls. */
	readonly every: (pauseMs: number, callback: () => void) => () => void;
	/** The time in monotonic ms. */
	readonly now: () => number;
};

/**
Creates a detector that suspects no request, and starts its gossip.

A request is blocked once endpoints have crashed one after the other while they ran it (`successiveCrashes`, `blockedUntil`),
whichever hosts sent it. Each host sends the crashes that it observed to the collectors of the request (`collectorsOf`); a host that
finds the request newly blocked or unblocked tells the other hosts of its hall. While a request is blocked, each host also sends
that to a few random peers, so that a host that was cut off or has just started learns of it too. The store takes no part: it may be
unavailable, and each lost run would cost it a call.
*/
export const createPoisonDetector = ({self, peers, sendRequest, crashDetector, onCrashed = () => undefined, log, random, every, now}: Options): PoisonDetector => {
	const table = createSuspicionTable(now);
	const exchange = createExchange({
		table, recordSuspicion: createSuspicionRecorder({table, log, now}), self, peers, sendRequest, random, now,
	});

	const addLostRun = async ({id, fingerprint, parts, events, endpoint, sentAt}: LostRun): Promise<void> => {
		const endedAt = now();
		const hasCrashed = await crashDetector.hasCrashed(endpoint);
		const request = fingerprint();
		log('run_lost', {
			id, request, parts: parts?.join(','), endpoint: endpoint.id, after_ms: Math.round(endedAt - sentAt), events, endpoint_ended: hasCrashed,
		});
		if (hasCrashed) {
			onCrashed(endpoint.id);
			exchange.publish(request, {crashes: new Map([[endpoint.id, {sentAt, endedAt}]]), cleared: new Set()});
		}
	};

	return {
		noteLostRun(run) {
			void addLostRun(run);
		},
		noteCompletedRun(fingerprint) {
			if (table.isEmpty()) {
				return;
			}

			const request = fingerprint();
			const known = table.get(request);
			if (known && successiveCrashes(known).length > 0) {
				exchange.publish(request, {crashes: known.crashes, cleared: new Set(known.crashes.keys())});
			}
		},
		blockedUntil: fingerprint => table.isEmpty() ? undefined : table.blockedUntil(fingerprint()),
		answer: exchange.answer,
		notePeerList: exchange.gossip,
		close: every(gossipIntervalMs, exchange.gossip),
	};
};
