import type {FleetConfig} from '../../config/fleet-config.js';
import type {Bounds} from '../../adapter/bounds.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {Timeouts} from '../../timeouts.js';
import type {Route} from '../../config/route.js';
import type {Schedule} from '../../adapter/schedule.js';
import {startEntryHost} from '../../start-entry-host.js';
import {headerNames} from './header-names.js';

/** A slow machine must not look like a silent peer. */
const unhurried: Timeouts = {
	connectMs: 60_000, probeMs: 60_000, peerMs: 60_000, storeMs: 60_000, gatherMs: 60_000,
};

type Fields = Readonly<Record<string, unknown>>;

/** The system picks a free port. */
const anyPort = '127.0.0.1:0';

/** A route of the service `s`. */
export const makeRoute = (change: Partial<Route> = {}): Route => ({
	name: 'r',
	host: 'fleet',
	pathPrefix: '/',
	kind: 'repeatable',
	services: [{service: 's', weight: 1}],
	timeoutMs: 600_000,
	goalMs: 600_000,
	priority: 0,
	maxAttempts: 2,
	isPublic: false,
	isResumable: false,
	...change,
});

/** A configuration with one organisation `org`, whose key is `key`. */
export const makeConfig = (change: Partial<FleetConfig> = {}, limit: number | undefined = undefined): FleetConfig => ({
	version: 1,
	routes: [makeRoute()],
	services: new Map([['s', {
		name: 's', maxConnections: 100, tokensPerEvent: 2, warmupMs: 0, warmupPerSecond: 0,
	}]]),
	organisationsByKey: new Map([['key', {name: 'org', limit, priority: undefined}]]),
	hasOrganisations: true,
	limits: {maxBodyBytes: 1000, headerTimeoutMs: 10_000, idleTimeoutMs: 10_000},
	...change,
});

type Options = {
	readonly host?: string;
	readonly hall?: string;
	/** Hosts that share it find each other. */
	readonly peers?: Map<string, ListedPeer>;
	/** How this host finds another one: as it is listed, or behind something. */
	readonly seenAs?: (peer: ListedPeer) => ListedPeer;
	readonly schedule?: Schedule;
	readonly now?: () => number;
	readonly warmup?: Bounds['warmup'];
	readonly hasEvacuations?: boolean;
};

/** Starts an entry host. */
export const startHost = async (rightsStore: RightsStore, {host = 'edge-1', hall = 'hall-a', peers = new Map(), seenAs = peer => peer, schedule, now, warmup, hasEvacuations}: Options = {}) => {
	const events: Array<{event: string; fields: Fields}> = [];
	const waiting: Array<{event: string; isMeant: (fields: Fields) => boolean; resolve: () => void}> = [];
	const entry = await startEntryHost({
		host,
		hall,
		listen: {callers: anyPort, ready: anyPort, peers: anyPort},
		bounds: {
			retryRatio: 1, retryWindowMs: 10_000, relayMs: 60_000, stopGraceMs: 20_000, warmup,
		},
		hasEvacuations,
		headers: headerNames,
		rightsStore,
		peers: {
			shareSecret: async () => 'secret',
			async register(self) {
				peers.set(host, self);
				return true;
			},
			list: async () => [...peers].map(([name, peer]) => name === host ? peer : seenAs(peer)),
		},
		timeouts: unhurried,
		schedule,
		now,
		log(event, fields = {}) {
			events.push({event, fields});
			for (const waiter of waiting.filter(entry => entry.event === event && entry.isMeant(fields))) {
				waiter.resolve();
			}
		},
	});
	return {
		entry,
		callers: entry.addresses.callers,
		ready: entry.addresses.ready,
		events,
		/** Resolves once the event was logged, with fields that are meant. */
		async logged(event: string, isMeant: (fields: Fields) => boolean = () => true) {
			if (!events.some(line => line.event === event && isMeant(line.fields))) {
				await new Promise<void>(resolve => {
					waiting.push({event, isMeant, resolve});
				});
			}
		},
	};
};
