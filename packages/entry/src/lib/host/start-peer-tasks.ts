import {createEventCounter, probeAddress} from '@deckwheel/host-kit';
import {
	createEndpointEnds, createPoisonDetector, suspicionsReplySchema, type PoisonDetector,
} from '@deckwheel/poison';
import type {z} from 'zod';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoreChanges} from '../../adapter/store-changes.js';
import type {Timeouts} from '../../timeouts.js';
import type {HostNames} from '../choice/host-names.js';
import {createLoanClient} from '../lending/create-loan-client.js';
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
	/** The name of this life of the host. */
	readonly holder: string;
	/** Where peers reach this host, as `ip:port`. */
	readonly address: string;
	readonly rightsStore: RightsStore;
	readonly directory: PeerDirectory;
	readonly timeouts: Timeouts;
	readonly log: Log;
	/** Called when a link that carried nothing any more was replaced. */
	readonly onLinkReplaced: () => void;
	/** Called when the limit on the requests to an endpoint changed. */
	readonly onLimitChanged: (endpoint: string) => void;
	/** Monotonic ms. */
	readonly now: () => number;
	/** Elapsed ms, suspensions included. */
	readonly elapsed: () => number;
};

/** What a host shares with its peers: rights on budgets, and what it sees of the store. */
type PeerTasks = {
	readonly rights: RightsManager;
	readonly poison: PoisonDetector;
	readonly limits: EndpointLimits;
	readonly storeChanges: StoreChanges;
	/** As of `PeerLinks`. */
	readonly hostNames: () => HostNames | undefined;
	/** As of `PeerLinks`. */
	readonly register: () => void;
	readonly close: () => Promise<void>;
};

/** Puts together the tasks that talk to peers: the keeper of rights, loans, change notifications, and the links they use. */
export const startPeerTasks = ({host, hall, holder, address, rightsStore, directory, timeouts, log, onLinkReplaced, onLimitChanged, now, elapsed}: Options): PeerTasks => {
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
	const askPeer = async <T>(asked: string, message: {readonly type: string}, schema: z.ZodType<T>): Promise<T | undefined> => {
		const reply = await links.mesh()?.request(asked, message, timeouts.peerMs);
		return reply?.ok ? readPeerReply(schema, reply.value, {address: asked, type: message.type}, log) : undefined;
	};

	const poison = createPoisonDetector({
		self: () => links.self(),
		peers: () => links.others(),
		ask: async ({address: asked}, question) => askPeer(asked, {type: 'suspicions', ...question}, suspicionsReplySchema),
		ends: createEndpointEnds(async endpoint => probeAddress(endpoint, timeouts.probeMs)),
		every: repeatByTimer,
		random: Math.random,
		log,
		now,
	});
	const permits = createEventCounter('permits', log);
	const limits = createEndpointLimits({
		self: () => links.self(),
		others: () => links.others(),
		isSettled: () => links.isPeerListKnown(),
		askPermit: async (asked, question) => askPeer(asked, {type: 'permit', ...question}, permitReplySchema),
		sendLimits: async (asked, message) => askPeer(asked, {type: 'limits', ...message}, limitsReplySchema),
		noteHost(peer, how) {
			links.noteHost(peer, how);
		},
		onChanged: onLimitChanged,
		count: permits.increment,
		log,
		now,
	});
	const board = createChangeRegistry(elapsed);
	const links = startPeerLinks({
		self: {holder, address, hall},
		directory,
		lend: async (to, request) => rights.lend(to, request),
		takeBack(from, budget, total) {
			rights.takeBack(budget, from, total);
		},
		answerChanges: board.answer,
		answerSuspicions: poison.answer,
		answerPermit: limits.answerPermit,
		answerLimits: limits.answerLimits,
		onListed() {
			poison.notePeerList();
			limits.peersListed();
		},
		log,
		onLinkReplaced,
		now,
	});
	return {
		rights,
		poison,
		limits,
		storeChanges: createStoreChanges({
			holder, board, links: () => links, log,
		}),
		hostNames: () => links.hostNames(),
		register() {
			links.register();
		},
		async close() {
			poison.close();
			rights.close();
			await links.close();
		},
	};
};
