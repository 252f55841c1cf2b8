import {probeAddress} from '@deckwheel/host-kit';
import {
	createEndpointEnds, createPoisonWatch, suspicionsReplySchema, type PoisonWatch,
} from '@deckwheel/poison';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoreChanges} from '../../adapter/store-changes.js';
import type {Timeouts} from '../../timeouts.js';
import type {HostNames} from '../choice/host-names.js';
import {createLoanClient} from '../lending/create-loan-client.js';
import {startPeerLinks} from '../peers/start-peer-links.js';
import {readPeerReply} from '../peers/read-peer-reply.js';
import {createRightsKeeper} from '../rights/create-rights-keeper.js';
import type {RightsKeeper} from '../rights/rights-keeper.js';
import {createChangeBoard} from '../store-changes/create-change-board.js';
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
	/** Monotonic ms. */
	readonly now: () => number;
	/** Elapsed ms, suspensions included. */
	readonly elapsed: () => number;
};

/** What a host shares with its peers: rights on budgets, and what it sees of the store. */
type PeerTasks = {
	readonly rights: RightsKeeper;
	readonly poison: PoisonWatch;
	readonly storeChanges: StoreChanges;
	/** As of `PeerLinks`. */
	readonly hostNames: () => HostNames | undefined;
	readonly close: () => Promise<void>;
};

/** Puts together the tasks that talk to peers: the keeper of rights, loans, change notifications, and the links they use. */
export const startPeerTasks = ({host, hall, holder, address, rightsStore, directory, timeouts, log, onLinkReplaced, now, elapsed}: Options): PeerTasks => {
	const loanClient = createLoanClient({
		mesh: () => links.mesh(),
		receivedFrom: (budget, lender) => rights.receivedFrom(budget, lender),
		onLoan(budget, from, total) {
			rights.receive(budget, from, total);
		},
		onSilence(peer) {
			links.suspect(peer);
		},
		askTimeoutMs: timeouts.peerMs,
		log,
		now,
	});
	const rights = createRightsKeeper({
		host, holder, store: rightsStore, loanClient, links: () => links, timeouts, log, now,
	});
	const poison = createPoisonWatch({
		self: () => links.self(),
		peers: () => links.others(),
		async ask({address: asked}, question) {
			const reply = await links.mesh()?.request(asked, {type: 'suspicions', ...question}, timeouts.peerMs);
			return reply?.ok ? readPeerReply(suspicionsReplySchema, reply.value, {address: asked, type: 'suspicions'}, log) : undefined;
		},
		ends: createEndpointEnds(async endpoint => probeAddress(endpoint, timeouts.probeMs)),
		every: repeatByTimer,
		random: Math.random,
		log,
		now,
	});
	const board = createChangeBoard(elapsed);
	const links = startPeerLinks({
		self: {holder, address, hall},
		directory,
		lend: async (to, request) => rights.lend(to, request),
		takeBack(from, budget, total) {
			rights.takeBack(budget, from, total);
		},
		answerChanges: board.answer,
		answerSuspicions: poison.answer,
		onListed: poison.peersListed,
		log,
		onLinkReplaced,
		now,
	});
	return {
		rights,
		poison,
		storeChanges: createStoreChanges({
			holder, board, links: () => links, log,
		}),
		hostNames: () => links.hostNames(),
		async close() {
			poison.close();
			rights.close();
			await links.close();
		},
	};
};
