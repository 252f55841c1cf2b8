import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {callHost, type CallerAnswer} from './call-host.js';
import {headerNames} from './header-names.js';
import {createMemoryRightsStore} from './memory-rights-store.js';
import {makeConfig, makeRoute, startHost} from './start-host.js';

/** A part of a prompt that crashes each endpoint that begins to write a response to it. */
export const badPart = 'bad';

/** The first part of all prompts. */
export const firstPart = 'first';

type RunningEndpoint = {readonly listed: ListedEndpoint; readonly server: Server};

type Options = {
	/** The hall of each host. */
	readonly halls: readonly string[];
	readonly endpointCount: number;
	/** Parts that crash endpoints beside `badPart`. A test may add to them. */
	readonly otherBadParts?: readonly string[];
	/** How long a crashed endpoint takes to restart, how long a run takes after its first event, and how long it takes to crash, in ms. */
	readonly restartMs?: number;
	readonly runMs?: number;
	readonly crashMs?: number;
};

/** Starts whole hosts and endpoints that crash under a part of a prompt. A crashed endpoint restarts at once as another incarnation at another port. */
export const startPartsFleet = async (t: ExecutionContext, {halls, endpointCount, otherBadParts = [], restartMs = 0, runMs = 0, crashMs = 0}: Options) => {
	const peers = new Map<string, ListedPeer>();
	const endpoints: RunningEndpoint[] = [];
	/** The requests with a bad part that reached endpoints, by their ids, in order. */
	const badArrivals: string[] = [];
	let startedCount = 0;
	let nextRequest = 0;
	let isClosed = false;
	/** The servers that have crashed; one of them stands in `endpoints` until its endpoint has restarted. */
	const crashed = new Set<Server>();
	let crashes = 0;

	const hosts = await Promise.all(halls.map(async (hall, index) => startHost(createMemoryRightsStore(), {host: `edge-${index}`, hall, peers})));

	const publish = (): void => {
		for (const {entry} of hosts) {
			entry.listEndpoints(endpoints.map(({listed}) => listed));
		}
	};

	const crash = async (index: number): Promise<void> => {
		const {server} = endpoints[index]!;
		if (crashed.has(server)) {
			return;
		}

		crashed.add(server);
		crashes++;
		server.close();
		server.closeAllConnections();
		await sleep(restartMs);
		await start(index);
		if (isClosed) {
			endpoints[index]!.server.close();
		} else {
			publish();
		}
	};

	const isBad = (parts: string): boolean => [badPart, ...otherBadParts].some(part => parts.includes(`${part}:`));

	const respond = async (req: IncomingMessage, res: ServerResponse, {index, server}: {readonly index: number; readonly server: Server}): Promise<void> => {
		const id = String(req.headers[headerNames.requestId]);
		res.setHeader(headerNames.requestId, id);
		res.setHeader(headerNames.stamp, endpoints[index]!.listed.id);
		res.writeHead(200, {'content-type': 'text/event-stream'});
		if (isBad(String(req.headers[headerNames.prefix]))) {
			badArrivals.push(id);
			res.write('id: 1\ndata: x\n\n', async () => {
				await sleep(crashMs);
				if (endpoints[index]!.server === server) {
					await crash(index);
				}
			});
		} else {
			res.write('id: 1\ndata: x\n\n');
			await sleep(runMs);
			res.end('id: 2\ndata: y\n\n');
		}
	};

	const start = async (index: number): Promise<void> => {
		const server = createServer((req, res) => {
			req.resume();
			req.on('end', () => {
				void respond(req, res, {index, server});
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const id = `e${index}#${startedCount++}`;
		endpoints[index] = {
			server,
			listed: {
				id, instance: id, hall: halls[index % halls.length]!, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, serves: ['s'], slots: 8, isLeaving: false,
			},
		};
	};

	for (let index = 0; index < endpointCount; index++) {
		await start(index);
	}

	for (const {entry} of hosts) {
		entry.configure(makeConfig({routes: [makeRoute({kind: 'stream', isResumable: true})]}));
	}

	publish();
	await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === halls.length)));
	t.teardown(async () => {
		isClosed = true;
		await Promise.all(hosts.map(async ({entry}) => entry.kill()));
		for (const {server} of endpoints) {
			server.close();
			server.closeAllConnections();
		}
	});

	return {
		hosts,
		badArrivals,
		crashes: () => crashes,
		/** Makes the endpoint at `index` crash by itself. */
		crash,
		/** Sends a request to the host at `host` whose prompt has these parts, and one of its own behind them. */
		async send(host: number, parts: readonly string[]): Promise<CallerAnswer> {
			const number = nextRequest++;
			const prefix = [...parts, `own-${number}`].map(part => `${part}:10`).join(',');
			return callHost(hosts[host % hosts.length]!.callers, {path: '/stream', body: `${number}`, headers: {[headerNames.tokenCount]: '10,10', [headerNames.prefix]: prefix}});
		},
	};
};
