import type {Socket} from 'node:net';
import type {ExecutionContext} from 'ava';
import type {Route} from '../../config/route.js';
import type {ManualClock} from './create-manual-clock.js';
import {healthPath} from './health-path.js';
import {createMemoryRightsStore} from './memory-rights-store.js';
import {startRawEndpoint, type RawEndpoint, type RawRequest} from './start-raw-endpoint.js';
import {
	makeConfig, makeRoute, makeService, startHost,
} from './start-host.js';

/** One run of a request at one of the endpoints. */
export type RawRun = {readonly req: RawRequest; readonly socket: Socket; readonly endpoint: RawEndpoint; /** How many runs came before. */ readonly earlierRuns: number};

type Options = {
	/** The hall of each endpoint. */
	readonly halls: readonly string[];
	/** The host's clock; the real one by default. */
	readonly clock?: Pick<ManualClock, 'now' | 'schedule'>;
	/** The memory of the host's machine, in MB. */
	readonly memoryMb?: number;
};

/** Starts a host with one route before raw endpoints, which write what `respond` says. All end with the test. */
export const startHostBeforeRaw = async (t: ExecutionContext, route: Partial<Route>, {halls, clock, memoryMb}: Options, respond: (run: RawRun) => void) => {
	let runs = 0;
	const endpoints: readonly RawEndpoint[] = await Promise.all(halls.map(async (hall, index) => startRawEndpoint(`e${index}`, (req, socket) => {
		respond({
			req, socket, endpoint: endpoints[index]!, earlierRuns: runs++,
		});
	}, hall)));
	const host = await startHost(createMemoryRightsStore(), {...clock, memoryMb});
	host.entry.configure(makeConfig({routes: [makeRoute(route)], services: new Map([['s', makeService({healthPath})]])}));
	host.entry.listEndpoints(endpoints.map(({listed}) => listed));
	t.teardown(async () => {
		await host.entry.kill();
		for (const endpoint of endpoints) {
			endpoint.close();
		}
	});
	return {...host, runs: () => runs};
};
