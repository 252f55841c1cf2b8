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

/** A request with this path ends each endpoint that begins to run it. */
export const fatalPath = '/fatal';

/** A request with this path runs until it is told to end. */
export const heldPath = '/held';

type Life = {readonly listed: ListedEndpoint; readonly server: Server; readonly held: ServerResponse[]};

/** For how long hosts may take to hear of each other, in ms: the bound of a wait that mostly ends within a few. */
const longestWaitMs = 10_000;

const halls = ['hall-a', 'hall-b'];

const hallOf = (index: number): string => halls[index % halls.length]!;

/** Waits until a condition holds; `false` when it does not for a long time. */
export const eventually = async (holds: () => boolean): Promise<boolean> => {
	const until = performance.now() + longestWaitMs;
	while (!holds() && performance.now() < until) {
		await sleep(1);
	}

	return holds();
};

/**
Starts whole hosts in two halls before endpoints that end when they are told, or when they begin to run the request that ends
them. An endpoint that ended is back at once, as another life at another port, and listed at each host.
*/
export const startCrashingFleet = async (hostCount: number, endpointCount: number) => {
	const peers = new Map<string, ListedPeer>();
	const hosts: Array<Awaited<ReturnType<typeof startHost>>> = [];
	const lives: Life[] = [];
	/** Endpoints that the request which ends them reached, in order. */
	const fatalArrivals: string[] = [];
	let started = 0;
	let isClosed = false;

	const list = (): void => {
		for (const {entry} of hosts) {
			entry.listEndpoints(lives.map(({listed}) => listed));
		}
	};

	const end = ({server}: Life): void => {
		server.close();
		server.closeAllConnections();
	};

	const answer = (req: IncomingMessage, res: ServerResponse, place: number): void => {
		res.setHeader(headerNames.requestId, String(req.headers[headerNames.requestId]));
		const life = lives[place]!;
		res.setHeader(headerNames.stamp, life.listed.id);
		if (req.url === fatalPath) {
			fatalArrivals.push(life.listed.id);
			void crash(place);
		} else if (req.url === heldPath) {
			life.held.push(res);
		} else {
			res.end('fine');
		}
	};

	const startLife = async (place: number): Promise<void> => {
		const id = `e${place}#${started++}`;
		const server = createServer((req, res) => {
			req.resume();
			req.on('end', () => {
				answer(req, res, place);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		lives[place] = {
			server,
			held: [],
			listed: {
				id, instance: id, hall: hallOf(place), address, serves: ['s'], slots: 8, isLeaving: false,
			},
		};
	};

	const crash = async (place: number): Promise<void> => {
		end(lives[place]!);
		await startLife(place);
		if (isClosed) {
			end(lives[place]!);
		} else {
			list();
		}
	};

	const addHost = async (): Promise<number> => {
		const index = hosts.length;
		const host = await startHost(createMemoryRightsStore(), {host: `edge-${index}`, hall: hallOf(index), peers});
		hosts.push(host);
		host.entry.configure(makeConfig());
		list();
		return index;
	};

	for (let place = 0; place < endpointCount; place++) {
		await startLife(place);
	}

	for (let index = 0; index < hostCount; index++) {
		await addHost();
	}

	await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === hostCount)));

	return {
		hosts,
		lives,
		fatalArrivals,
		crash,
		addHost,
		send: async (host: number, path: string, body = 'the same'): Promise<CallerAnswer> => callHost(hosts[host]!.callers, {path, body}),
		/** Ends the runs that are held at one place with a whole answer. */
		release(place: number) {
			for (const res of lives[place]!.held.splice(0)) {
				res.end('fine');
			}
		},
		async close() {
			isClosed = true;
			await Promise.all(hosts.map(async ({entry}) => entry.kill()));
			for (const life of lives) {
				end(life);
			}
		},
	};
};
