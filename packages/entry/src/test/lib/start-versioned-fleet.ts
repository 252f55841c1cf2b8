import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ExecutionContext} from 'ava';
import type {Bounds} from '../../adapter/bounds.js';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {createMemoryOriginStore} from './memory-origin-store.js';
import {createMemoryRightsStore} from './memory-rights-store.js';
import {startEndpoint} from './start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './start-host.js';

/** How many events a whole stream has. */
export const streamLength = 6;

/**
The header with which a caller asks the endpoint that begins its stream for trouble: `break` breaks the stream off after two events, `hold`
writes one event and then nothing until `breakHeld`, and `crash` breaks the response off before the first event.
*/
export const troubleHeader = 'x-trouble';

const writeEvents = (res: ServerResponse, from: number, to: number, version: string): void => {
	for (let id = from; id <= to; id++) {
		res.write(`id: ${id}\ndata: ${version}\n\n`);
	}
};

/** Responds with a stream whose events name the version that wrote them. It goes on after the event that the request names. */
const answerWith = (version: string, held: Set<ServerResponse>) => (req: IncomingMessage, res: ServerResponse): void => {
	const after = Number(req.headers['last-event-id'] ?? 0);
	const trouble = after === 0 ? req.headers[troubleHeader] : undefined;
	if (trouble === 'crash') {
		res.destroy();
		return;
	}

	res.writeHead(200, {'content-type': 'text/event-stream'});
	if (trouble === 'hold') {
		writeEvents(res, 1, 1, version);
		held.add(res);
	} else if (trouble === 'break') {
		res.write(`id: 1\ndata: ${version}\n\nid: 2\ndata: ${version}\n\n`, () => {
			res.destroy();
		});
	} else {
		writeEvents(res, after + 1, streamLength, version);
		res.end();
	}
};

type Options = {
	/** The hall of each host. */
	readonly halls: readonly string[];
	/** The version of each endpoint; they stand in the halls in turn. */
	readonly versions: ReadonlyArray<string | undefined>;
	/** How many of the endpoints the hosts list at first; all by default. */
	readonly listedAtFirst?: number;
	/** As for `startHost`, with the hall of the host that gets the entry. */
	readonly seenAs?: (peer: ListedPeer, hall: string) => ListedPeer;
	/** As in `Bounds`; not known by default. */
	readonly eventTimeout?: Bounds['eventTimeout'];
	/** As in `Route`. */
	readonly goalMs?: number;
};

/** Starts whole hosts that know each other and list endpoints of several software versions, behind a route for streams that may be resumed. */
export const startVersionedFleet = async (t: ExecutionContext, {halls, versions, listedAtFirst = versions.length, seenAs = peer => peer, eventTimeout, goalMs}: Options) => {
	const peers = new Map<string, ListedPeer>();
	const originStore = createMemoryOriginStore();
	const held = new Set<ServerResponse>();
	const hallNames = [...new Set(halls)];
	const endpoints = await Promise.all(versions.map(async (version, index) => {
		const endpoint = await startEndpoint(`e${index}`, answerWith(version ?? 'none', held), hallNames[index % hallNames.length]);
		return {...endpoint, listed: {...endpoint.listed, version}};
	}));
	const route = makeRoute({
		kind: 'stream', isResumable: true, maxAttempts: 4, ...(goalMs !== undefined && {goalMs}),
	});
	const startHosts = async (listed: readonly ListedEndpoint[]) => {
		const started = await Promise.all(halls.map(async (hall, index) => startHost(createMemoryRightsStore(), {
			host: `edge-${index}`, hall, peers, originStore, seenAs: peer => seenAs(peer, hall), eventTimeout,
		})));
		for (const {entry} of started) {
			entry.configure(makeConfig({routes: [route]}));
			entry.listEndpoints(listed);
		}

		await Promise.all(started.map(async ({logged}) => logged('peers_listed', ({count}) => count === halls.length)));
		t.teardown(async () => {
			await Promise.all(started.map(async ({entry}) => entry.kill()));
		});
		return started;
	};

	t.teardown(() => {
		for (const endpoint of endpoints) {
			endpoint.close();
		}
	});
	const hosts = await startHosts(endpoints.slice(0, listedAtFirst).map(({listed}) => listed));
	return {
		hosts,
		endpoints,
		peers,
		originStore,
		/** Breaks the connections of all streams that are held, at one moment. The endpoints go on. */
		breakHeld() {
			for (const res of held) {
				res.destroy();
			}

			held.clear();
		},
		/** Starts all hosts anew, under the same names and with nothing remembered. Those of before have to be killed first. */
		async startAgain(listed: readonly ListedEndpoint[]) {
			peers.clear();
			return startHosts(listed);
		},
	};
};
