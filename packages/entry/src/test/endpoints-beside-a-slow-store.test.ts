/** Guards against endpoints that are ejected since the host itself gave their streams up: the store did not take the origins in time. */
import test from 'ava';
import {createMemoryOriginStore} from './lib/memory-origin-store.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {openStream} from './lib/open-stream.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const waveCount = 4;

const answerAs = (version: string): Answer => (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.end(`id: 1\ndata: ${version}\n\n`);
};

test('a slow store ejects a healthy endpoint of the later version', async t => {
	const originStore = createMemoryOriginStore();
	let written: Promise<void> = Promise.resolve();
	const base = await startEndpoint('e0', answerAs('v1'));
	const later = await startEndpoint('e1', answerAs('v2'));
	t.teardown(() => {
		base.close();
		later.close();
	});
	const {entry, callers, events} = await startHost(createMemoryRightsStore(), {
		originStore: {
			...originStore,
			async writeOrigins(host, next) {
				await written;
				return originStore.writeOrigins(host, next);
			},
		},
	});
	t.teardown(async () => entry.kill());
	entry.configure(makeConfig({routes: [makeRoute({kind: 'stream', isResumable: true, maxAttempts: 4})]}));
	const v1 = {...base.listed, version: 'v1'};
	const v2 = {...later.listed, version: 'v2'};
	entry.listEndpoints([v1]);
	await openStream(callers, 'early').ended;
	entry.listEndpoints([v1, v2]);
	for (let wave = 0; wave < waveCount; wave++) {
		let finishWrite: () => void = () => undefined;
		written = new Promise(resolve => {
			finishWrite = resolve;
		});
		const ends = await Promise.all(['a', 'b', 'c', 'd'].map(async name => openStream(callers, `${name}${wave}`).ended));
		t.true(ends.every(({status, isWhole}) => status === 200 && isWhole));
		finishWrite();
	}

	t.true(later.seen.length > 0);
	entry.listEndpoints([v2]);
	const {status} = await openStream(callers, 'last').ended;
	t.is(status, 200);
	t.is(events.find(({fields}) => fields.id === 'last')?.fields.excluded, undefined);
});
