import {createHash} from 'node:crypto';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {signText, type Bundle, type SignedBundle} from '@deckwheel/bundle';
import {slotOfBudget, type RightsObject} from '@deckwheel/ledger';
import {connectPlatform, type Platform} from '@deckwheel/store-client';
import {
	startEngine, startRelay, startService, startStore, type RunningRelay, type RunningStandIn,
} from '@deckwheel/stand-ins';
import got from 'got';
import type {EntryProcess} from './entry-process.js';
import type {FleetOptions} from './fleet-options.js';
import type {Fleet} from './fleet.js';
import type {HostView} from './host-view.js';
import {makeBundle} from './make-bundle.js';
import {spawnEntry} from './spawn-entry.js';
import {testKeys} from './test-keys.js';

/** Slots of the small fleets here. */
const slots = 4;
const apiKey = 'key-of-the-title-company';
const otherApiKey = 'key-of-the-surveyors';
const operatorToken = 'token-of-the-operator';
const budget = 'title-company.main';
const otherBudget = 'surveyors.main';

/** How often a start is looked at, in ms. */
const pollMs = 50;
const listen = {ip: '127.0.0.1', port: 0};

const putBudgets = async (platform: Platform, tokens: number): Promise<void> => {
	const objects = new Map<number, RightsObject>();
	for (const id of [budget, otherBudget]) {
		const slot = slotOfBudget(id, slots);
		const rights = {
			organisation: id.split('.')[0]!, limit: tokens, topUps: [], holders: {},
		};
		objects.set(slot, {budgets: {...objects.get(slot)?.budgets, [id]: rights}});
	}

	for (const [slot, object] of objects) {
		await platform.put(`rights/${slot}`, object, 0);
	}
};

/** Starts a small fleet and waits until it can serve. */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
	const folder = await mkdtemp(join(tmpdir(), 'deckwheel-'));
	const keys = testKeys();
	const store = await startStore();
	const platform = connectPlatform(store.url);
	const halls = Object.keys(options.halls);
	const engines: Record<string, RunningStandIn> = {};
	for (const hall of halls) {
		for (const [index, engine] of (options.engines ?? [options.engine ?? {}]).entries()) {
			engines[index === 0 ? hall : `${hall}.${index + 1}`] = await startEngine(engine);
		}
	}

	const service = await startService();
	const bundle = makeBundle({
		halls,
		engineUrls: Object.fromEntries(Object.entries(engines).map(([name, {url}]) => [name, url])),
		serviceUrl: service.url,
		apiKey,
		otherApiKey,
		engineSlots: (options.engines?.[0] ?? options.engine)?.slots ?? 8,
		limits: options.limits ?? {},
	});
	const sign = (content: Bundle): SignedBundle => {
		const text = JSON.stringify(content);
		return {text, author: signText(text, 'author', 'ada', keys.author), approval: signText(text, 'approver', 'ben', keys.approver)};
	};

	await platform.put('bundle/head', sign(bundle), 0);
	await putBudgets(platform, options.tokens ?? 1_000_000);

	const spawned: EntryProcess[] = [];
	const relays: RunningRelay[] = [];
	const spawn = async (host: string, hall: string, changes: Record<string, unknown> = {}): Promise<EntryProcess> => {
		const relay = options.hasRelays ? await startRelay() : undefined;
		const entry = await spawnEntry(folder, {
			host,
			hall,
			listen: {callers: listen, peers: listen, operators: listen},
			platform: {url: store.url},
			secret: 'a secret of the whole fleet',
			operators: [{id: 'olga', sha256: createHash('sha256').update(operatorToken).digest('hex')}],
			trustedKeys: keys.trusted,
			slots,
			flushMs: 300,
			heartbeatMs: 150,
			...(relay && {advertise: `127.0.0.1:${relay.port}`}),
			...options.settings,
			...changes,
		} as {host: string; hall: string});
		spawned.push(entry);
		if (!relay) {
			return entry;
		}

		relay.aimAt(Number(entry.peers.split(':')[1]));
		relays.push(relay);
		return {...entry, peers: `127.0.0.1:${relay.port}`};
	};

	const listHosts = async (entries: readonly EntryProcess[]): Promise<void> => {
		const hosts = entries.map(({host, hall, peers}) => ({
			host, hall, address: peers, state: 'live',
		}));
		await got.put(`${store.url}/control/hosts`, {json: {hosts}});
	};

	const statusOf = async ({operators}: EntryProcess): Promise<HostView> =>
		got(`${operators}/status`, {headers: {authorization: `Bearer ${operatorToken}`}}).json();

	const isSettled = async (entries: readonly EntryProcess[]): Promise<boolean> => {
		const statuses = await Promise.all(entries.map(async entry => statusOf(entry)));
		return statuses.every(status => {
			const peers = entries.filter(({hall}) => hall === status.hall);
			const known = status.hosts.filter(host => host.state === 'live').length;
			return status.bundleVersion > 0
				&& known >= Math.min(entries.length - 1, peers.length - 1 + (halls.length - 1))
				&& status.slots.every(pair => pair.primary !== undefined && (pair.backup !== undefined || peers.length === 1));
		});
	};

	const settled = async (entries: readonly EntryProcess[]): Promise<void> => {
		while (!await isSettled(entries)) {
			await delay(pollMs);
		}
	};

	const entries = await Promise.all(halls.flatMap(hall =>
		Array.from({length: options.halls[hall]!}, async (_, index) => spawn(`${hall}-${index + 1}`, hall))));
	await listHosts(entries);
	await settled(entries);
	return {
		folder,
		store,
		platform,
		engines,
		service,
		entries,
		apiKey,
		otherApiKey,
		operatorToken,
		budget,
		bundle,
		trustedKeys: keys.trusted,
		keys,
		sign,
		spawn,
		listHosts,
		settled,
		setLinks(mode) {
			for (const relay of relays) {
				relay.setMode(mode);
			}
		},
		async setFaults(standIn, faults) {
			await got.put(`${standIn.url}/control/faults`, {json: faults});
		},
		async close() {
			for (const {child} of spawned) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}

			await Promise.all(spawned.map(async ({exited}) => exited));
			await Promise.all([store, service, ...relays, ...Object.values(engines)].map(async standIn => standIn.close()));
			await rm(folder, {recursive: true});
		},
	};
};
