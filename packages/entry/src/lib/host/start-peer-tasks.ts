import {fail} from '@deckwheel/core';
import {createEventCounter, probeAddress, type ProbeResult} from '@deckwheel/host-kit';
import {
	createCrashDetector, createPoisonDetector, suspicionsReplySchema, type PoisonDetector, type SuspectedEndpoint,
} from '@deckwheel/poison';
import type {z} from 'zod';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';
import type {OriginStore} from '../../adapter/origin-store.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoreChanges} from '../../adapter/store-changes.js';
import type {Timeouts} from '../../timeouts.js';
import type {HostNames} from '../choice/host-names.js';
import {createLoanClient} from '../lending/create-loan-client.js';
import {createLoadSharing} from '../load-sharing/create-load-sharing.js';
import type {LoadSharing} from '../load-sharing/load-sharing.js';
import {createReplyTracker} from '../peers/create-reply-tracker.js';
import {startPeerLinks} from '../peers/start-peer-links.js';
import {readPeerReply} from '../peers/read-peer-reply.js';
import {createEndpointLimits} from '../request-limits/create-endpoint-limits.js';
import {connectDirectly} from '../sending/connect-directly.js';
import type {EndpointLimits} from '../request-limits/endpoint-limits.js';
import {limitsReplySchema} from '../request-limits/limits-reply-schema.js';
import {permitReplySchema} from '../request-limits/permit-reply-schema.js';
import {createRightsManager} from '../rights/create-rights-manager.js';
import type {RightsManager} from '../rights/rights-manager.js';
import {createChangeRegistry} from '../store-changes/create-change-registry.js';
import {createStoreChanges} from '../store-changes/create-store-changes.js';
import {createStreamOrigins} from '../stream-origins/create-stream-origins.js';
import type {StreamOrigins} from '../stream-origins/stream-origins.js';
import {originsReplySchema} from '../stream-origins/wire/origins-reply-schema.js';
import {createTunnelClient} from '../tunnels/create-tunnel-client.js';
import {countTunnels} from '../tunnels/count-tunnels.js';
import {createTunnelServer} from '../tunnels/create-tunnel-server.js';
import {reachReplySchema} from '../tunnels/reach-reply-schema.js';
import type {TunnelClient} from '../tunnels/tunnel-client.js';
import {tunnelEndReplySchema} from '../tunnels/tunnel-end-reply-schema.js';
import {tunnelReplySchema} from '../tunnels/tunnel-reply-schema.js';
import type {TunnelServerOptions} from '../tunnels/tunnel-server-options.js';
import {createStopMonitor} from '../own-health/create-stop-monitor.js';
import {repeatByTimer} from './repeat-by-timer.js';
import {scheduleByTimer} from './schedule-by-timer.js';

type Options = {
	readonly host: string;
	readonly hall: string;
	/** The name of this incarnation of the host, as a holder of rights. */
	readonly holder: string;
	/** Where peers reach this host, as `ip:port`. */
	readonly address: string;
	readonly rightsStore: RightsStore;
	readonly directory: PeerDirectory;
	readonly originStore: OriginStore;
	/** As `endpointsConfirmMs` of `Bounds`. */
	readonly endpointsConfirmMs: number;
	/** The writes a second that the store accepts of all hosts together. */
	readonly storeWritesPerSecond: number;
	readonly timeouts: Timeouts;
	readonly log: Log;
	/** Called when a link over which nothing arrived any more was replaced by a new one. */
	readonly onLinkReplaced: () => void;
	/** Called when an endpoint had crashed under a run. */
	readonly onEndpointCrashed: (endpoint: string) => void;
	/** Opens connections to endpoints for peers: what it needs of the host. */
	readonly tunnelling: Pick<TunnelServerOptions, 'endpointOf' | 'isLost' | 'isBusy' | 'isRunning'>;
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
	readonly streamOrigins: StreamOrigins;
	readonly tunnels: TunnelClient;
	/** The number of connections to endpoints that peers use through this host, or used a moment ago, so that they may still ask for their end. */
	readonly servedTunnels: () => number;
	/** As `hostNames` of `PeerLinks`. */
	readonly hostNames: () => HostNames | undefined;
	/** How many hosts are listed, in all halls, this host included. */
	readonly hostCount: () => number;
	/** As `hallSize` of `PeerLinks`. */
	readonly hallSize: () => number;
	/** As `lateMs` of `ReplyTracker`. */
	readonly repliesLateMs: () => number;
	/** How many hosts of the hall are reachable, this host included. */
	readonly reachableHallHosts: () => number;
	/** As `register` of `PeerLinks`. */
	readonly register: () => void;
	readonly close: () => Promise<void>;
};

/**
Creates the parts that exchange messages with peers (rights and loans, poison detection, limits and load of endpoints, change notifications), and the
links that they use.
*/
export const startPeerTasks = ({
	host, hall, holder, address, rightsStore, directory, originStore, endpointsConfirmMs, storeWritesPerSecond,
	timeouts, log, onLinkReplaced, onEndpointCrashed, tunnelling, onLimitChanged, onEnded, now, elapsed,
}: Options): PeerTasks => {
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
	const requestFromPeer = async <T>(
		peerAddress: string, message: {readonly type: string} & Readonly<Record<string, unknown>>, schema: z.ZodType<T>, timeoutMs = timeouts.peerMs,
	): Promise<T | undefined> => {
		const reply = await links.mesh()?.request(peerAddress, message, timeoutMs);
		return reply?.ok ? readPeerReply(schema, reply.value, {address: peerAddress, type: message.type}, log) : undefined;
	};

	const tunnelCounter = createEventCounter('tunnels', log);
	const tunnels = createTunnelClient({
		hall,
		others: () => links.others(),
		tunnels: () => links.tunnels(),
		requestTunnel: async (peerAddress, endpoint, timeoutMs) => requestFromPeer(peerAddress, {type: 'tunnel', endpoint}, tunnelReplySchema, timeoutMs),
		requestReach: async (peerAddress, endpoints, timeoutMs) => requestFromPeer(peerAddress, {type: 'reach', endpoints}, reachReplySchema, timeoutMs),
		// A host of an earlier release replies nothing.
		requestEnd: async ({peer, ticket}, endpoint, timeoutMs) => requestFromPeer(peer, {type: 'tunnel_end', ticket, endpoint}, tunnelEndReplySchema.optional(), timeoutMs),
		timeouts,
		count: tunnelCounter.increment,
		random: Math.random,
		now,
	});
	const tunnelServer = createTunnelServer({
		...tunnelling,
		probe: async peerAddress => await probeAddress(peerAddress, timeouts.tunnelMs) === 'reached',
		connect: async endpointAddress => connectDirectly(endpointAddress, timeouts.tunnelMs),
		tunnels: () => links.tunnels(),
		count: tunnelCounter.increment,
		now,
	});

	// A port that refuses this host's connections while a peer reaches it shows a cut link, not an endpoint that has ended.
	const probeEndpoint = async ({id, address: endpointAddress}: SuspectedEndpoint): Promise<ProbeResult> => {
		const result = await probeAddress(endpointAddress, timeouts.probeMs);
		if (result !== 'refused') {
			return result;
		}

		const reached = await tunnels.reachedByPeers([id]);
		return reached.has(id) ? 'silent' : result;
	};

	const poison = createPoisonDetector({
		self: () => links.self(),
		peers: () => links.others(),
		sendRequest: async ({address: peerAddress}, request) => requestFromPeer(peerAddress, {type: 'suspicions', ...request}, suspicionsReplySchema),
		crashDetector: createCrashDetector(probeEndpoint),
		onCrashed: onEndpointCrashed,
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
	const stopMonitor = createStopMonitor({every: repeatByTimer, elapsed});
	const streamOrigins = createStreamOrigins({
		host,
		store: originStore,
		writesPerSecond: storeWritesPerSecond,
		listConfirmMs: endpointsConfirmMs,
		schedule: scheduleByTimer,
		self: () => links.self(),
		others: () => links.others(),
		sendOrigins: async (peerAddress, message, timeoutMs) => requestFromPeer(peerAddress, {type: 'origins', ...message}, originsReplySchema, timeoutMs),
		counter: createEventCounter('stream_origins', log),
		now,
		resumedAt: stopMonitor.resumedAt,
		elapsed,
	});
	const registry = createChangeRegistry(elapsed);
	const replies = createReplyTracker(now);
	const links = startPeerLinks({
		self: {holder, address, hall},
		directory,
		lend: async (to, request) => rights.lend(to, request),
		takeBack(from, budget, total) {
			rights.takeBack(budget, from, total);
		},
		answerChanges: registry.answer,
		answerPatch: registry.answerPatch,
		answerSuspicions: poison.answer,
		answerPermit: limits.answerPermit,
		answerLimits: limits.answerLimits,
		answerLoad: loadSharing.answerLoad,
		answerOrigins: streamOrigins.answerOrigins,
		...tunnelServer,
		onListed() {
			poison.notePeerList();
			limits.notePeerList();
		},
		log,
		onLinkReplaced,
		replies,
		now,
	});
	return {
		rights,
		poison,
		limits,
		loadSharing,
		streamOrigins,
		tunnels,
		servedTunnels: () => countTunnels(links.tunnels()),
		storeChanges: createStoreChanges({
			holder, registry, links: () => links, random: Math.random, log,
		}),
		hostNames: () => links.hostNames(),
		hostCount: () => links.others().length + 1,
		hallSize: () => links.hallSize(),
		repliesLateMs: replies.lateMs,
		reachableHallHosts: () => links.hallPeers().length,
		register() {
			links.register();
		},
		async close() {
			poison.close();
			loadSharing.close();
			rights.close();
			streamOrigins.close();
			stopMonitor.close();
			await links.close();
		},
	};
};
