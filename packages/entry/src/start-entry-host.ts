import {createServer, type Server} from 'node:http';
import {performance} from 'node:perf_hooks';
import {listenAt} from '@deckwheel/host-kit';
import {stepRetryWindow, type RetryWindow} from '@deckwheel/routing';
import {defaultTimeouts} from './default-timeouts.js';
import type {EntryHostOptions} from './entry-host-options.js';
import type {EntryHost} from './entry-host.js';
import type {FleetConfig} from './config/fleet-config.js';
import {createConnectionPool} from './lib/sending/create-connection-pool.js';
import {createEndpointChooser} from './lib/choice/create-endpoint-chooser.js';
import {createLoanClient} from './lib/lending/create-loan-client.js';
import {createChangeBoard} from './lib/store-changes/create-change-board.js';
import {createStoreChanges} from './lib/store-changes/create-store-changes.js';
import {createRightsKeeper} from './lib/rights/create-rights-keeper.js';
import type {HostServices} from './lib/request/host-services.js';
import {scheduleByTimer} from './lib/host/schedule-by-timer.js';
import {serveRequest} from './lib/request/serve-request.js';
import {probeAddress} from './lib/hall-health/probe-address.js';
import {startHallWatch} from './lib/hall-health/start-hall-watch.js';
import {startLatenessWatch} from './lib/own-health/start-lateness-watch.js';
import {startPeerLinks} from './lib/peers/start-peer-links.js';

/** Callers' heads are bounded here once; the configuration's own bound is lower. */
const maxHeaderBytes = 65_536;

/** After the signal to stop, new connections may still come for as long as the balancer takes to notice. */
const lingerMs = 3000;
const pollMs = 50;

/** Left of the grace for handing rights back, in ms. */
const handBackMs = 1000;

/** Starts an entry host. It is ready once it has a configuration and a list of endpoints. */
export const startEntryHost = async ({host, hall, listen, bounds, headers: headerNames, rightsStore, peers, log, timeouts = defaultTimeouts, schedule = scheduleByTimer}: EntryHostOptions): Promise<EntryHost> => {
	const now = (): number => performance.now();
	const holder = `${host}#${Date.now().toString(36)}${Math.floor(Math.random() * 46_656).toString(36)}`;
	const pool = createConnectionPool(now);
	const loanClient = createLoanClient({
		mesh: () => links.mesh(),
		receivedFrom: (budget, lender) => rights.receivedFrom(budget, lender),
		onLoan(budget, from, total) {
			rights.receive(budget, from, total);
		},
		onSilence(address) {
			links.suspect(address);
		},
		askTimeoutMs: timeouts.peerMs,
		log,
		now,
	});
	const rights = createRightsKeeper({
		host, holder, store: rightsStore, loanClient, links: () => links, timeouts, log, now,
	});
	const board = createChangeBoard(now);
	const links = startPeerLinks({
		self: {holder, address: listen.peers, hall},
		hall,
		directory: peers,
		lend: async (to, request) => rights.lend(to, request),
		takeBack(from, budget, total) {
			rights.takeBack(budget, from, total);
		},
		answerChanges: board.answer,
		log,
		now,
	});
	const storeChanges = createStoreChanges({holder, board, links: () => links});
	const lateness = startLatenessWatch({
		boundMs: bounds.relayMs, open: () => open, log, now,
	});
	const halls = startHallWatch({
		hall, probe: async address => probeAddress(address, timeouts.probeMs), isOverloaded: lateness.isOverloaded, log, now,
	});
	const chooser = createEndpointChooser(hall, halls.isLost, now);
	const windows = new Map<string, RetryWindow>();
	let config: FleetConfig | undefined;
	let isListed = false;
	let isStopping = false;
	let open = 0;

	const stepWindow = (service: string, event: 'request' | 'repeat'): boolean => {
		const {window, isAllowed} = stepRetryWindow(windows.get(service), event, bounds, now());
		windows.set(service, window);
		return isAllowed;
	};

	// Callers whose connections are closed come back through the balancer, which sends them to hosts that are ready.
	const isClosing = (): boolean => isStopping || lateness.isOverloaded();

	const context: HostServices = {
		config: () => config,
		isClosing,
		isOverloaded: lateness.isOverloaded,
		isShedding: lateness.isShedding,
		noteConnect(endpoint, tookMs) {
			if (endpoint.hall === hall) {
				lateness.noteConnect(tookMs);
			}
		},
		headerNames,
		chooser,
		halls,
		rights,
		pool,
		bounds,
		mayRepeat: service => stepWindow(service, 'repeat'),
		noteRequest(service) {
			stepWindow(service, 'request');
		},
		connectMs: timeouts.connectMs,
		schedule,
		log,
		now,
	};

	const callers: Server = createServer({maxHeaderSize: maxHeaderBytes, keepAliveTimeout: 15_000, noDelay: true}, (req, res) => {
		open++;
		res.once('close', () => {
			open--;
		});
		if (isClosing()) {
			res.shouldKeepAlive = false;
		}

		void serveRequest(req, res, context);
	});
	const ready = createServer((_req, res) => {
		const isReady = config !== undefined && isListed && !isClosing();
		res.writeHead(isReady ? 200 : 503, {'content-length': 0});
		res.end();
	});
	const [callersAddress, readyAddress] = await Promise.all([listenAt(callers, listen.callers), listenAt(ready, listen.ready)]);
	log('started', {holder, hall});

	const hasEnded = async (until: number): Promise<void> => new Promise(resolve => {
		const poll = setInterval(() => {
			if (open === 0 || now() > until) {
				clearInterval(poll);
				resolve();
			}
		}, pollMs);
	});

	return {
		storeChanges,
		addresses: {callers: callersAddress, ready: readyAddress},
		configure(next) {
			if (config !== undefined && next.version <= config.version) {
				return;
			}

			config = next;
			callers.keepAliveTimeout = next.limits.idleTimeoutMs;
			callers.headersTimeout = next.limits.headerTimeoutMs;
			rights.configure(next);
			log('configured', {version: next.version, routes: next.routes.length, budgets: new Set([...next.organisationsByKey.values()].map(({name}) => name)).size});
		},
		listEndpoints(endpoints) {
			isListed = true;
			chooser.list(endpoints);
			halls.list(endpoints);
			pool.keepOnly(new Set(endpoints.map(({id}) => id)));
			log('endpoints_listed', {count: endpoints.length, leaving: endpoints.filter(({isLeaving}) => isLeaving).length});
		},
		async kill() {
			rights.close();
			lateness.close();
			halls.close();
			for (const server of [callers, ready]) {
				server.closeAllConnections();
				server.close();
			}

			pool.keepOnly(new Set());
			await links.close();
		},
		async stop() {
			isStopping = true;
			const signalledAt = now();
			log('stopping', {open});
			callers.closeIdleConnections();
			await new Promise(resolve => {
				setTimeout(resolve, lingerMs);
			});
			callers.closeIdleConnections();
			await rights.retire();
			await hasEnded(signalledAt + bounds.stopGraceMs - handBackMs);
			await rights.retire();
			rights.close();
			lateness.close();
			halls.close();
			await links.close();
			log('stopped', {open});
		},
	};
};
