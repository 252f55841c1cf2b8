/** Guards against streams that go on at a version that joins while their take-up is under way, at a host that knew one version when it came. */
import test, {type ExecutionContext} from 'ava';
import {headerNames} from './lib/header-names.js';
import {createMemoryOriginStore} from './lib/memory-origin-store.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {openStream} from './lib/open-stream.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const halls = ['hall-a', 'hall-b', 'hall-a', 'hall-b'];

/** Takes a stream of the only version up at another host, at which a second version is listed before the take-up is sent again; returns the versions of the events that come. */
const takeUpWhileVersionJoins = async (t: ExecutionContext, isFirstHostDead: boolean): Promise<readonly string[]> => {
	let joinVersion = (): void => undefined;
	const first = await startEndpoint('e0', (req, res) => {
		if (req.headers[headerNames.lastEventId] === undefined) {
			res.writeHead(200, {'content-type': 'text/event-stream'}).write('id: 1\ndata: v1\n\n');
			return;
		}

		joinVersion();
		res.destroy();
	});
	const second = await startEndpoint('e1', (_req, res) => {
		res.writeHead(200, {'content-type': 'text/event-stream'}).end('id: 2\ndata: v2\n\n');
	});
	const listedAtFirst = [{...first.listed, version: 'v1'}];
	const peers = new Map();
	const originStore = createMemoryOriginStore();
	const hosts = await Promise.all(halls.map(async (hall, index) => startHost(createMemoryRightsStore(), {
		host: `edge-${index}`, hall, peers, originStore,
	})));
	t.teardown(async () => {
		await Promise.all(hosts.map(async ({entry}) => entry.kill()));
		first.close();
		second.close();
	});
	for (const {entry} of hosts) {
		entry.configure(makeConfig({routes: [makeRoute({kind: 'stream', isResumable: true, maxAttempts: 4})]}));
		entry.listEndpoints(listedAtFirst);
	}

	await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === hosts.length)));
	joinVersion = () => {
		hosts[1]!.entry.listEndpoints([...listedAtFirst, {...second.listed, version: 'v2'}]);
	};

	await openStream(hosts[0]!.callers, 's').first;
	if (isFirstHostDead) {
		await hosts[0]!.entry.kill();
	}

	const {events} = await openStream(hosts[1]!.callers, 't', {[headerNames.resumes]: 's', [headerNames.lastEventId]: '1'}).ended;
	return events.map(({data}) => data);
};

test('a stream goes on at a version that joins after its host found one version, and before the take-up is sent again', async t => {
	t.deepEqual(await takeUpWhileVersionJoins(t, false), []);
});

test('a stream whose host died goes on at a version that joins after another host found one version, and before the take-up is sent again', async t => {
	t.deepEqual(await takeUpWhileVersionJoins(t, true), []);
});
