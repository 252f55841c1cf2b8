import type {FleetConfig} from '../../config/fleet-config.js';
import type {Bounds} from '../../adapter/bounds.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {PlacingSettings} from '../../adapter/placing-settings.js';
import type {OriginStore} from '../../adapter/origin-store.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {Timeouts} from '../../timeouts.js';
import type {Route} from '../../config/route.js';
import type {Service} from '../../config/service.js';
import type {Schedule} from '../../adapter/schedule.js';
import {startEntryHost} from '../../start-entry-host.js';
import {headerNames} from './header-names.js';
import {createMemoryOriginStore} from './memory-origin-store.js';

/** Timeouts in ms, so long that a peer on a busy test computer never looks silent. */
const longTimeouts: Timeouts = {
	connectMs: 60_000, probeMs: 60_000, tunnelMs: 60_000, peerMs: 60_000, storeMs: 60_000, gatherMs: 60_000,
};

type Fields = Readonly<Record<string, unknown>>;

/** An address with which the operating system picks a free port. */
const anyPort = '127.0.0.1:0';

/** Makes a route to the service `s`. */
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

/** Makes the service `s`. */
export const makeService = (change: Partial<Service> = {}): Service => ({
	name: 's', maxConnections: 100, tokensPerEvent: 2, warmupMs: 0, warmupPerSecond: 0, ...change,
});

/** Makes a configuration with one organisation `org`, whose API key is `key`. `limit`: its prepaid tokens; `undefined` where none are counted. */
export const makeConfig = (change: Partial<FleetConfig> = {}, limit: number | undefined = undefined): FleetConfig => ({
	version: 1,
	routes: [makeRoute()],
	services: new Map([['s', makeService()]]),
	organisationsByKey: new Map([['key', {name: 'org', limit, priority: undefined}]]),
	hasOrganisations: true,
	limits: {maxBodyBytes: 1000, headerTimeoutMs: 10_000, idleTimeoutMs: 10_000},
	...change,
});

type Options = {
	readonly host?: string;
	readonly hall?: string;
	/** The hosts that are listed, by name. Hosts that share this map find each other. */
	readonly peers?: Map<string, ListedPeer>;
	/** Hosts that share this store find there where streams began. */
	readonly originStore?: OriginStore;
	/** Maps the entry of another host to the entry that this host gets, for instance with the address of a proxy. */
	readonly seenAs?: (peer: ListedPeer) => ListedPeer;
	readonly schedule?: Schedule;
	readonly now?: () => number;
	readonly warmup?: Bounds['warmup'];
	readonly hasEvacuations?: boolean;
	readonly configApplyMs?: number;
	readonly eventTimeout?: Bounds['eventTimeout'];
	/** A retry for each request by default. */
	readonly retries?: Pick<Bounds, 'retryRatio' | 'retryWindowMs'>;
	readonly placing?: PlacingSettings;
	/** The memory of the host's machine, in MB. */
	readonly memoryMb?: number;
};

/** Starts an entry host with the event log that tests look at. */
export const startHost = async (rightsStore: RightsStore, options: Options = {}) => {
	const {
		host = 'edge-1', hall = 'hall-a', peers = new Map<string, ListedPeer>(), seenAs = peer => peer, schedule, now, warmup, hasEvacuations, configApplyMs, eventTimeout, placing, memoryMb,
		originStore = createMemoryOriginStore(), retries = {retryRatio: 1, retryWindowMs: 10_000},
	} = options;
	const events: Array<{event: string; fields: Fields}> = [];
	const eventWaiters: Array<{event: string; isMeant: (fields: Fields) => boolean; resolve: () => void}> = [];
	const entry = await startEntryHost({
		host,
		hall,
		listen: {callers: anyPort, ready: anyPort, peers: anyPort},
		bounds: {
			...retries, storeWritesPerSecond: 400, relayMs: 60_000, stopGraceMs: 20_000, warmup, configApplyMs, eventTimeout, memoryMb,
		},
		hasEvacuations,
		headers: headerNames,
		rightsStore,
		originStore,
		peers: {
			shareSecret: async () => 'secret',
			async register(self) {
				peers.set(host, self);
				return true;
			},
			list: async () => [...peers].map(([name, peer]) => name === host ? peer : seenAs(peer)),
		},
		placing,
		timeouts: longTimeouts,
		schedule,
		now,
		log(event, fields = {}) {
			events.push({event, fields});
			for (const waiter of eventWaiters.filter(candidate => candidate.event === event && candidate.isMeant(fields))) {
				waiter.resolve();
			}
		},
	});
	return {
		entry,
		callers: entry.addresses.callers,
		ready: entry.addresses.ready,
		events,
		/** Resolves once the event was logged with fields of which `isMeant` is true. */
		async logged(event: string, isMeant: (fields: Fields) => boolean = () => true) {
			if (!events.some(line => line.event === event && isMeant(line.fields))) {
				await new Promise<void>(resolve => {
					eventWaiters.push({event, isMeant, resolve});
				});
			}
		},
	};
};
