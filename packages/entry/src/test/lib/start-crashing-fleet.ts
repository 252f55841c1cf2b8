import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {callHost, type CallerAnswer} from './call-host.js';
import {headerNames} from './header-names.js';
import {createMemoryRightsStore} from './memory-rights-store.js';
import {makeConfig, startHost} from './start-host.js';

/** A request with this path crashes each endpoint that begins to run it. */
export const fatalPath = '/fatal';

/** A request with this path runs until the test releases it. */
export const heldPath = '/held';

/** One process of an endpoint. `held` are the responses of the runs that wait for their release. */
type CrashingEndpoint = {readonly listed: ListedEndpoint; readonly server: Server; readonly held: ServerResponse[]};

/** The longest that `eventually` waits, in ms. Mostly a wait ends within a few ms. */
const maxWaitMs = 10_000;

const halls = ['hall-a', 'hall-b'];

const hallOf = (index: number): string => halls[index % halls.length]!;

/** Waits until a condition holds, for 10 s at most; returns whether it holds. */
export const eventually = async (holds: () => boolean): Promise<boolean> => {
	const until = performance.now() + maxWaitMs;
	while (!holds() && performance.now() < until) {
		await sleep(1);
	}

	return holds();
};

/**
Starts complete hosts and endpoints in two halls. An endpoint crashes when the test says so (`crash`), or when it begins to run a
request with `fatalPath`. It restarts at once as another incarnation at another port, and each host gets the new list of endpoints.
*/
export const startCrashingFleet = async (hostCount: number, endpointCount: number) => {
	const peers = new Map<string, ListedPeer>();
	const hosts: Array<Awaited<ReturnType<typeof startHost>>> = [];
	const endpoints: CrashingEndpoint[] = [];
	/** The ids of the endpoints that requests with `fatalPath` reached, in order. */
	const fatalArrivals: string[] = [];
	let startedCount = 0;
	let isClosed = false;

	const publishEndpoints = (): void => {
		for (const {entry} of hosts) {
			entry.listEndpoints(endpoints.map(({listed}) => listed));
		}
	};

	const stopEndpoint = ({server}: CrashingEndpoint): void => {
		server.close();
		server.closeAllConnections();
	};

	const respond = (req: IncomingMessage, res: ServerResponse, index: number): void => {
		res.setHeader(headerNames.requestId, String(req.headers[headerNames.requestId]));
		const endpoint = endpoints[index]!;
		res.setHeader(headerNames.stamp, endpoint.listed.id);
		if (req.url === fatalPath) {
			fatalArrivals.push(endpoint.listed.id);
			void crash(index);
		} else if (req.url === heldPath) {
			endpoint.held.push(res);
		} else {
			res.end('fine');
		}
	};

	const startEndpoint = async (index: number): Promise<void> => {
		const id = `e${index}#${startedCount++}`;
		const server = createServer((req, res) => {
			req.resume();
			req.on('end', () => {
				respond(req, res, index);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		endpoints[index] = {
			server,
			held: [],
			listed: {
				id, instance: id, hall: hallOf(index), address, serves: ['s'], slots: 8, isLeaving: false,
			},
		};
	};

	const crash = async (index: number): Promise<void> => {
		stopEndpoint(endpoints[index]!);
		await startEndpoint(index);
		if (isClosed) {
			stopEndpoint(endpoints[index]!);
		} else {
			publishEndpoints();
		}
	};

	const addHost = async (): Promise<number> => {
		const index = hosts.length;
		const host = await startHost(createMemoryRightsStore(), {host: `edge-${index}`, hall: hallOf(index), peers});
		hosts.push(host);
		host.entry.configure(makeConfig());
		publishEndpoints();
		return index;
	};

	for (let index = 0; index < endpointCount; index++) {
		await startEndpoint(index);
	}

	for (let index = 0; index < hostCount; index++) {
		await addHost();
	}

	await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === hostCount)));

	return {
		hosts,
		endpoints,
		fatalArrivals,
		crash,
		addHost,
		send: async (host: number, path: string, body = 'the same'): Promise<CallerAnswer> => callHost(hosts[host]!.callers, {path, body}),
		/** Completes the runs that the endpoint at `index` holds, each with a whole response. */
		release(index: number) {
			for (const res of endpoints[index]!.held.splice(0)) {
				res.end('fine');
			}
		},
		async close() {
			isClosed = true;
			await Promise.all(hosts.map(async ({entry}) => entry.kill()));
			for (const endpoint of endpoints) {
				stopEndpoint(endpoint);
			}
		},
	};
};
