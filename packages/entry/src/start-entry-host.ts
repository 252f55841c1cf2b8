import type {ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {isDeepStrictEqual} from 'node:util';
import {createEventCounter} from '@deckwheel/host-kit';
import type {FleetConfig} from './config/fleet-config.js';
import {defaultPlacing} from './default-placing.js';
import {defaultTimeouts} from './default-timeouts.js';
import type {EntryHostOptions} from './entry-host-options.js';
import type {EntryHost} from './entry-host.js';
import {createConfigMonitor} from './lib/admission/create-config-monitor.js';
import {isCallerSeen} from './lib/admission/is-caller-seen.js';
import {createBrittleEndpoints} from './lib/brittle-endpoints/create-brittle-endpoints.js';
import {createEndpointChooser} from './lib/choice/create-endpoint-chooser.js';
import {createEndpointEnds} from './lib/choice/create-endpoint-ends.js';
import {createEndpointListing} from './lib/choice/create-endpoint-listing.js';
import {createWarmupRules} from './lib/choice/create-warmup-rules.js';
import {createBodyRoom} from './lib/held-bytes/create-body-room.js';
import {createHeldBytes} from './lib/held-bytes/create-held-bytes.js';
import {planMaxBodyBytes} from './lib/held-bytes/plan-max-body-bytes.js';
import {planMaxHeldBytes} from './lib/held-bytes/plan-max-held-bytes.js';
import {createCallerConnections} from './lib/host/create-caller-connections.js';
import {createRequestCounter} from './lib/host/create-request-counter.js';
import {createRetryLimiter} from './lib/host/create-retry-limiter.js';
import {createShutdown} from './lib/host/create-shutdown.js';
import {mayForward} from './lib/host/may-forward.js';
import {newHolderName} from './lib/host/new-holder-name.js';
import {scheduleByTimer} from './lib/host/schedule-by-timer.js';
import {startAcceptanceChecks} from './lib/host/start-acceptance-checks.js';
import {startHealthMonitor} from './lib/host/start-health-monitor.js';
import {startServers} from './lib/host/start-servers.js';
import {untilNone} from './lib/host/until-none.js';
import {startPeerTasks} from './lib/host/start-peer-tasks.js';
import {createAcceptQueueMonitor} from './lib/own-health/create-accept-queue-monitor.js';
import {createWaitLog} from './lib/own-health/create-wait-log.js';
import {rankOfPriority} from './lib/own-health/rank-of-priority.js';
import {smallHall} from './lib/peers/small-hall.js';
import type {HostContext} from './lib/request/host-context.js';
import {serveRequest} from './lib/request/serve-request.js';
import {connectDirectly} from './lib/sending/connect-directly.js';
import {createEndCheck} from './lib/response-ends/create-end-check.js';
import {createHealthQuestion} from './lib/response-ends/create-health-question.js';
import {createConnectionPool} from './lib/sending/create-connection-pool.js';
import {createEndpointConnector} from './lib/sending/create-endpoint-connector.js';

/** The default of `endpointsConfirmMs`. */
const defaultEndpointsConfirmMs = 5000;

const countBudgets = ({organisationsByKey}: FleetConfig): number =>
	new Set([...organisationsByKey.values()].map(({name}) => name)).size;

const monotonicMs = (): number => performance.now();

/**
Starts an entry host. A server whose address cannot be had yet tries again, also after this function resolved.

The host is ready once it has a configuration, a list of endpoints and, where operators may order evacuations, the set of evacuated halls. While
it is overloaded, stops, has an outdated configuration, or lets new connections wait too long, it is not ready.

This function holds the configuration in force and the evacuated halls. All other state belongs to the components that it connects.
*/
export const startEntryHost = async (options: EntryHostOptions): Promise<EntryHost> => {
	const {host, hall, listen, bounds, hasEvacuations = false, headers: headerNames, rightsStore, originStore, peers: directory, log} = options;
	const {timeouts = defaultTimeouts, placing = defaultPlacing, schedule = scheduleByTimer, now = monotonicMs, elapsed = now} = options;
	const holder = newHolderName(host);
	const requestCounter = createRequestCounter(now);
	const lessUrgentCounter = createRequestCounter(now);
	const askHealth = createHealthQuestion({
		serviceOf: name => config?.services.get(name), hasQuietSince: (endpoint, time) => pool.hasQuietSince(endpoint, time), instanceHeader: headerNames.instance, connectMs: timeouts.connectMs,
	});
	const peerTasks = startPeerTasks({
		host, hall, holder, address: listen.peers, rightsStore, originStore, directory, timeouts, log, now, elapsed,
		storeWritesPerSecond: bounds.storeWritesPerSecond,
		endpointsConfirmMs: bounds.endpointsConfirmMs ?? defaultEndpointsConfirmMs,
		// A fault that silences a link to a peer usually silences kept connections to endpoints as well.
		onLinkReplaced() {
			pool.keepOnly(new Set());
		},
		onEndpointCrashed(endpoint) {
			endpointEnds.noteEnded(endpoint, 'crashed');
		},
		tunnelling: {
			endpointOf: id => listing.inUse(id),
			isLost: endpoint => health.paths.isLost(endpoint),
			isBusy: () => overload.isOverloaded() || shutdown.plan() !== undefined,
			isRunning: async endpoint => await askHealth(endpoint) === 'reached',
		},
		onLimitChanged(endpoint) {
			chooser.note({type: 'limited', endpoint, until: 0});
		},
		onEnded(endpoint) {
			endpointEnds.noteReported(endpoint);
		},
	});
	const {rights, loadSharing} = peerTasks;
	let evacuatedHalls: ReadonlySet<string> | undefined = hasEvacuations ? undefined : new Set();
	const health = startHealthMonitor({
		hall, isEvacuated: name => evacuatedHalls?.has(name) ?? false, bounds, timeouts, open: requestCounter.count, openLessUrgent: lessUrgentCounter.count, log, now,
		reachedByPeers: peerTasks.tunnels.reachedByPeers,
		closeIdle(endpoint) {
			pool.closeIdle(endpoint);
		},
	});
	const {overload, halls, paths} = health;
	const pool = createConnectionPool(elapsed, createEndpointConnector({
		connect: async address => connectDirectly(address, timeouts.connectMs),
		tunnels: peerTasks.tunnels,
		timeouts,
		paths,
		isOverloaded: overload.isOverloaded,
		noteConnect: health.noteConnect,
		notePeerReply: overload.noteConnect,
		now,
	}), now);
	let config: FleetConfig | undefined;
	const isLoadShared = (): boolean => peerTasks.hallSize() > smallHall;
	const configMonitor = createConfigMonitor({
		applyMs: bounds.configApplyMs, repliesLateMs: peerTasks.repliesLateMs, elapsed,
	});
	const chooser = createEndpointChooser({
		hall,
		isUnreachable: halls.isUnreachable,
		warmupRules: createWarmupRules({
			bound: bounds.warmup, serviceOf: name => config?.services.get(name), hosts: peerTasks.hostNames,
		}),
		placing: {
			...placing,
			// Where no hosts share load, each knows too little of it to place by it.
			isOn: () => placing.byExpectedTime && isLoadShared(),
			loadOf: loadSharing.loads.loadOf,
			random: Math.random,
		},
		now,
	});
	const endpointEnds = createEndpointEnds({
		chooser, tellPeers: loadSharing.noteEnded, log, now,
	});
	const listing = createEndpointListing({
		config: () => config,
		onUsed(used, unused) {
			chooser.list(used);
			loadSharing.list(used);
			peerTasks.streamOrigins.list(used);
			health.list(used);
			pool.keepOnly(new Set(used.map(({id}) => id)));
			log('endpoints_listed', {count: used.length, leaving: used.filter(({isLeaving}) => isLeaving).length, unused});
		},
	});
	// Requests of peers' callers that go through this host end before it does, as those of its own callers.
	const openWork = (): number => requestCounter.count() + peerTasks.servedTunnels();
	const shutdown = createShutdown({
		graceMs: bounds.stopGraceMs, requestCounter: {count: openWork, untilNone: async deadline => untilNone(openWork, deadline, now)}, schedule, log, now,
	});
	let shutdownDone: Promise<void> | undefined;

	// Callers whose connections this host closes reconnect through the balancer, which sends them to hosts that are ready.
	const isClosingConnections = (): boolean => shutdown.plan() !== undefined || overload.isOverloaded() || configMonitor.isOutdated();

	const connections = createCallerConnections(now);
	const acceptQueueMonitor = createAcceptQueueMonitor({isBusy: () => requestCounter.count() > 0, onMeasured: createWaitLog({open: requestCounter.count, log, now}), now});
	const connectionCounter = createEventCounter('connections', log);
	const closesAfter = (res: ServerResponse): boolean => isClosingConnections() && connections.isLastOpenResponse(res);

	const maxBodyBytes = planMaxBodyBytes(bounds.memoryMb ?? 0);

	// No request is forwarded before this host knows which halls are evacuated: until then, it serves requests as if it had no configuration.
	const hostContext: HostContext = {
		config: () => evacuatedHalls === undefined ? undefined : config,
		configProof: configMonitor.proof,
		isConfigOutdated: configMonitor.isOutdated,
		closesAfter,
		isStopping: () => shutdown.plan() !== undefined,
		assignShutdownGroup: shutdown.assignGroup,
		cutFields: shutdown.cutFields,
		mayForward: deadline => mayForward({shutdownPlan: shutdown.plan(), deadline, now: now()}),
		isOverloaded: overload.isOverloaded,
		rankOf: priority => config && isLoadShared() ? rankOfPriority(config, priority) : 0,
		isShedding: overload.isShedding,
		overloadCause: overload.cause,
		noteLessUrgent: lessUrgentCounter.add,
		waitedMs: connections.waitedMs,
		isCallerSeen: res => isCallerSeen({readUpTo: overload.readUpTo(), arrival: connections.arrivalOf(res), now: now()}),
		unreadTimeout: bounds.unreadTimeout,
		eventTimeout: bounds.eventTimeout,
		countUnsent: createEventCounter('unsent_attempts', log).increment,
		headerNames,
		chooser,
		endpointEnds,
		loads: loadSharing.loads,
		isUrgencySent: () => placing.sendUrgency && isLoadShared(),
		brittleEndpoints: createBrittleEndpoints({
			headerNames, chooser, hostCount: peerTasks.hostCount, log, now,
		}),
		halls,
		paths,
		poison: peerTasks.poison,
		limits: peerTasks.limits,
		rights,
		streamOrigins: peerTasks.streamOrigins,
		pool,
		bodyRoom: createBodyRoom(
			createHeldBytes(maxBodyBytes, createEventCounter('held_small_bodies', log)),
			createHeldBytes(maxBodyBytes, createEventCounter('held_large_bodies', log)),
		),
		heldBytes: createHeldBytes(planMaxHeldBytes(bounds.memoryMb ?? 0), createEventCounter('held_bytes', log)),
		checkEnd: createEndCheck({
			askHealth,
			confirmTunnelEnd: peerTasks.tunnels.confirmEnd,
		}),
		retries: createRetryLimiter(bounds, now),
		schedule,
		random: Math.random,
		log,
		now,
	};
	const servers = await startServers({
		listen,
		requestCounter,
		connections,
		onConnection(socket) {
			// A caller whose request is not read may send any request again, and does so at another host.
			if (acceptQueueMonitor.accepted(socket)) {
				connectionCounter.increment('closed_unread');
				socket.destroy();
				return;
			}

			connections.noteConnection(socket, {waitedMs: acceptQueueMonitor.waitedMs(), earliestAt: acceptQueueMonitor.acceptedUpTo()});
		},
		serve: async (req, res) => serveRequest(req, res, hostContext),
		isReady: () => config !== undefined && listing.isKnown() && evacuatedHalls !== undefined && !isClosingConnections() && !acceptQueueMonitor.isQueueLong(),
		closesAfter,
		log,
	});
	const endAcceptChecks = startAcceptanceChecks({
		servers, isOverloaded: overload.isOverloaded, openShare: loadSharing.loads.openShare, hallHosts: peerTasks.reachableHallHosts,
	});
	acceptQueueMonitor.start(servers.addresses.callers);
	log('started', {holder, hall});

	const closeMonitors = (): void => {
		endAcceptChecks();
		acceptQueueMonitor.close();
		health.close();
	};

	const shutDown = async (sentAfter: number): Promise<void> => {
		await shutdown.execute({servers, rights}, sentAfter);
		closeMonitors();
		await peerTasks.close();
	};

	return {
		storeChanges: peerTasks.storeChanges,
		get addresses() {
			return servers.addresses;
		},
		configure(next) {
			if (config !== undefined && next.version <= config.version) {
				return;
			}

			config = next;
			servers.setLimits(next.limits);
			rights.configure(next);
			log('configured', {version: next.version, routes: next.routes.length, budgets: countBudgets(next)});
			listing.review();
		},
		configConfirmed: configMonitor.confirm,
		configUnread: configMonitor.noteUnread,
		listEndpoints: listing.list,
		endpointsConfirmed: peerTasks.streamOrigins.listConfirmed,
		evacuateHalls(next) {
			if (evacuatedHalls !== undefined && isDeepStrictEqual(next, evacuatedHalls)) {
				return;
			}

			evacuatedHalls = next;
			chooser.evacuate(next);
			log('halls_evacuated', {halls: [...next].join(',')});
		},
		storeRestored() {
			rights.noteRestored();
			peerTasks.streamOrigins.noteRestored();
			peerTasks.register();
		},
		async kill() {
			closeMonitors();
			servers.kill();
			pool.keepOnly(new Set());
			await peerTasks.close();
		},
		async stop(sentAfter = now()) {
			shutdownDone ??= shutDown(sentAfter);
			await shutdownDone;
		},
	};
};
