import {fail} from '@deckwheel/core';
import {createEventCounter, probeAddress} from '@deckwheel/host-kit';
import {
	createCrashDetector, createPoisonDetector, suspicionsReplySchema, type PoisonDetector,
} from '@deckwheel/poison';
import type {z} from 'zod';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoreChanges} from '../../adapter/store-changes.js';
import type {Timeouts} from '../../timeouts.js';
import type {HostNames} from '../choice/host-names.js';
import {createLoanClient} from '../lending/create-loan-client.js';
import {createLoadSharing} from '../load-sharing/create-load-sharing.js';
import type {LoadSharing} from '../load-sharing/load-sharing.js';
import {startPeerLinks} from '../peers/start-peer-links.js';
import {readPeerReply} from '../peers/read-peer-reply.js';
import {createEndpointLimits} from '../request-limits/create-endpoint-limits.js';
import type {EndpointLimits} from '../request-limits/endpoint-limits.js';
import {limitsReplySchema} from '../request-limits/limits-reply-schema.js';
import {permitReplySchema} from '../request-limits/permit-reply-schema.js';
import {createRightsManager} from '../rights/create-rights-manager.js';
import type {RightsManager} from '../rights/rights-manager.js';
import {createChangeRegistry} from '../store-changes/create-change-registry.js';
import {createStoreChanges} from '../store-changes/create-store-changes.js';
import {repeatByTimer} from './repeat-by-timer.js';

type Options = {
	readonly host: string;
	readonly hall: string;
	/** The name of this incarnation of the host, as a holder of rights. */
	readonly holder: string;
	/** Where peers reach this host, as `ip:port`. */
	readonly address: string;
	readonly rightsStore: RightsStore;
	readonly directory: PeerDirectory;
	readonly timeouts: Timeouts;
	readonly log: Log;
	/** Called when a link over which nothing arrived any more was replaced by a new one. */
	readonly onLinkReplaced: () => void;
	/** Called when the limit on requests to an endpoint changed. */
	readonly onLimitChanged: (endpoint: string) => void;
	/** Called with the id of a listed endpoint that another host found ended. */
	readonly onEnded: (endpoint: string) => void;
	/** Monotonic ms. */
	readonly now: () => number;
	/** Elapsed ms, suspensions included. */
	readonly elapsed: () => number;
};

/** The parts of a host that exchange messages with its peers. */
type PeerTasks = {
	readonly rights: RightsManager;
	readonly poison: PoisonDetector;
	readonly limits: EndpointLimits;
	readonly loadSharing: Omit<LoadSharing, 'answerLoad' | 'close'>;
	readonly storeChanges: StoreChanges;
	/** As `hostNames` of `PeerLinks`. */
	readonly hostNames: () => HostNames | undefined;
	/** As `hallSize` of `PeerLinks`. */
	readonly hallSize: () => number;
	/** As `register` of `PeerLinks`. */
	readonly register: () => void;
	readonly close: () => Promise<void>;
};

/**
Creates the parts that exchange messages with peers (rights and loans, poison detection, limits and load of endpoints, change notifications), and the
links that they use.
*/
export const startPeerTasks = ({host, hall, holder, address, rightsStore, directory, timeouts, log, onLinkReplaced, onLimitChanged, onEnded, now, elapsed}: Options): PeerTasks => {
	const loanClient = createLoanClient({
		mesh: () => links.mesh(),
		receivedFrom: (budget, lender) => rights.receivedFrom(budget, lender),
		onLoan(budget, from, total) {
			rights.receive(budget, from, total);
		},
		onSilence(peer) {
			links.suspect(peer);
		},
		replyTimeoutMs: timeouts.peerMs,
		log,
		now,
	});
	const rights = createRightsManager({
		host, holder, store: rightsStore, loanClient, links: () => links, timeouts, log, now,
	});
	const requestFromPeer = async <T>(peerAddress: string, message: {readonly type: string}, schema: z.ZodType<T>): Promise<T | undefined> => {
		const reply = await links.mesh()?.request(peerAddress, message, timeouts.peerMs);
		return reply?.ok ? readPeerReply(schema, reply.value, {address: peerAddress, type: message.type}, log) : undefined;
	};

	const poison = createPoisonDetector({
		self: () => links.self(),
		peers: () => links.others(),
		sendRequest: async ({address: peerAddress}, request) => requestFromPeer(peerAddress, {type: 'suspicions', ...request}, suspicionsReplySchema),
		crashDetector: createCrashDetector(async endpoint => probeAddress(endpoint, timeouts.probeMs)),
		every: repeatByTimer,
		random: Math.random,
		log,
		now,
	});
	const permitCounter = createEventCounter('permits', log);
	const limits = createEndpointLimits({
		self: () => links.self(),
		others: () => links.others(),
		isPeerListKnown: () => links.isPeerListKnown(),
		requestPermit: async (peerAddress, request) => requestFromPeer(peerAddress, {type: 'permit', ...request}, permitReplySchema),
		sendLimits: async (peerAddress, message) => requestFromPeer(peerAddress, {type: 'limits', ...message}, limitsReplySchema),
		noteHost(peer, how) {
			links.noteHost(peer, how);
		},
		onLimitChanged,
		count: permitCounter.increment,
		log,
		now,
	});
	const loadSharing = createLoadSharing({
		links: () => links,
		request: async (peerAddress, message, timeoutMs) => await links.mesh()?.request(peerAddress, message, timeoutMs) ?? fail('unreachable'),
		every: repeatByTimer,
		onEnded,
		counter: createEventCounter('load_exchanges', log),
		log,
		// What a host knew before a suspension of the machine counts as old.
		now: elapsed,
	});
	const registry = createChangeRegistry(elapsed);
	const links = startPeerLinks({
		self: {holder, address, hall},
		directory,
		lend: async (to, request) => rights.lend(to, request),
		takeBack(from, budget, total) {
			rights.takeBack(budget, from, total);
		},
		answerChanges: registry.answer,
		answerSuspicions: poison.answer,
		answerPermit: limits.answerPermit,
		answerLimits: limits.answerLimits,
		answerLoad: loadSharing.answerLoad,
		onListed() {
			poison.notePeerList();
			limits.notePeerList();
		},
		log,
		onLinkReplaced,
		now,
	});
	return {
		rights,
		poison,
		limits,
		loadSharing,
		storeChanges: createStoreChanges({
			holder, registry, links: () => links, log,
		}),
		hostNames: () => links.hostNames(),
		hallSize: () => links.hallSize(),
		register() {
			links.register();
		},
		async close() {
			poison.close();
			loadSharing.close();
			rights.close();
			await links.close();
		},
	};
};
