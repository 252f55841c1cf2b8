import type {LogFields} from '@deckwheel/host-kit';
import {rankByRendezvous} from '@deckwheel/core';
import type {CrashDetector} from './crash-detector.js';
import {createBlockList} from './lib/blocking/create-block-list.js';
import {createExchange} from './lib/create-exchange.js';
import {createGoodEnds} from './lib/create-good-ends.js';
import {createSuspicionRecorder} from './lib/create-suspicion-recorder.js';
import {createSuspicionTable} from './lib/create-suspicion-table.js';
import {partSubjectsOf} from './lib/part-subjects-of.js';
import {subjectsOf} from './lib/subjects-of.js';
import {successiveCrashes} from './lib/successive-crashes.js';
import type {Suspicion} from './lib/suspicion.js';
import type {Peer} from './peer.js';
import type {PoisonDetector} from './poison-detector.js';
import type {SuspicionsRequest} from './suspicions-request.js';
import type {SuspicionsReply} from './suspicions-reply.js';

/**
The time between two rounds of gossip while a subject is blocked, in ms. A host that reconnects after a network partition learns of
a blocked subject within a few rounds, well before the host counts as in touch again.
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
Creates a detector that suspects nothing, and starts its gossip.

A crash of an endpoint counts against the requests that were under way there and against the parts of their prompts. A subject is
blocked once endpoints have crashed one after the other under it, whichever hosts sent it (`successiveCrashes`, `blockedUntil`), unless
another one explains these crashes better (`blamedSubjects`). Each host sends the crashes that it observed to the collectors of the
subject (`collectorsOf`); a host that finds a subject newly blocked or unblocked tells the other hosts of its hall. While a subject is
blocked, each host also sends that to a few random peers, so that a host that was cut off or has just started learns of it too. The store
takes no part: it may be unavailable, and each lost run would cost it a call.
*/
export const createPoisonDetector = ({self, peers, sendRequest, crashDetector, onCrashed = () => undefined, log, random, every, now}: Options): PoisonDetector => {
	const table = createSuspicionTable(now);
	const goodEnds = createGoodEnds(now);
	let pendingVerdicts = 0;
	const blockList = createBlockList({
		table,
		isProven: goodEnds.has,
		rankOf: subject => rankByRendezvous(subject, [self(), ...peers()].map(({address}) => address)).indexOf(self().address),
		log,
		now,
	});
	const exchange = createExchange({
		table, recordSuspicions: createSuspicionRecorder({table, blockList, now}), blockList, self, peers, sendRequest, random, now,
	});

	const isHeldAgainst = (subject: string): boolean => {
		const known = table.get(subject);
		return known !== undefined && successiveCrashes(known).length > 0;
	};

	return {
		async noteLostRun({id, events, endpoint, sentAt, ...request}) {
			const endedAt = now();
			pendingVerdicts++;
			const hasCrashed = await crashDetector.hasCrashed(endpoint);
			pendingVerdicts--;
			log('run_lost', {
				id, request: request.fingerprint(), parts: request.parts.join(','), endpoint: endpoint.id, after_ms: Math.round(endedAt - sentAt), events, endpoint_ended: hasCrashed,
			});
			if (!hasCrashed) {
				return false;
			}

			onCrashed(endpoint.id);
			const crashes = new Map([[endpoint.id, {sentAt, endedAt}]]);
			const suspicionOf = (subject: string): Suspicion => ({crashes, cleared: new Set(goodEnds.hasAfter(subject, endedAt) ? crashes.keys() : [])});
			// Of a part that many requests share, one of those that were under way at the endpoint is enough.
			const news = subjectsOf(request).filter(subject => !table.get(subject)?.crashes.has(endpoint.id));
			if (news.length > 0) {
				exchange.publish(new Map(news.map(subject => [subject, suspicionOf(subject)])));
			}

			return true;
		},
		noteCompletedRun(request, isGoodEnd) {
			const parts = isGoodEnd ? partSubjectsOf(request.parts) : [];
			// Without a crash, nobody asks for the fingerprint, which takes a hash to compute.
			const subjects = table.isEmpty() && pendingVerdicts === 0 ? parts : [request.fingerprint(), ...parts];
			goodEnds.note(subjects);
			const cleared = subjects.filter(subject => isHeldAgainst(subject));
			if (cleared.length === 0) {
				return;
			}

			exchange.publish(new Map(cleared.map(subject => {
				const {crashes} = table.get(subject)!;
				return [subject, {crashes, cleared: new Set(crashes.keys())}];
			})));
		},
		isSuspected: request => !table.isEmpty() && subjectsOf(request).some(subject => isHeldAgainst(subject)),
		blockedUntil: request => table.isEmpty() ? undefined : blockList.blockedUntil(subjectsOf(request)),
		noteSent(request) {
			if (!table.isEmpty()) {
				blockList.noteSent(subjectsOf(request));
			}
		},
		answer: exchange.answer,
		notePeerList: exchange.gossip,
		close: every(gossipIntervalMs, exchange.gossip),
	};
};
