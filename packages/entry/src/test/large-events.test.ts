/** Guards against the unfinished events of many streams, which each are no larger than an event may be, and together take the memory of a host. */
import test from 'ava';
import {openStream} from './lib/open-stream.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/** The size of a part of an event up to which no room is needed, in bytes. */
const smallBytes = 65_536;

test('a host without room for a large event holds it', async t => {
	const large = `id: 2\ndata: ${'a'.repeat(10 * smallBytes)}\n\n`;
	const endpoint = await startEndpoint('e0', (_req, res) => {
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.write('id: 1\ndata: a\n\n', () => {
			res.end(large);
		});
	});
	// A host of 5 MB may hold a tenth of it.
	const host = await startHost(createMemoryRightsStore(), {memoryMb: 5});
	host.entry.configure(makeConfig({routes: [makeRoute({kind: 'stream'})]}));
	host.entry.listEndpoints([endpoint.listed]);
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	const {isWhole, body} = await openStream(host.callers, 's1').ended;
	t.false(isWhole);
	t.true(body === 'id: 1\ndata: a\n\n');
	await host.logged('response_broken', ({id, endpoint: sender, end}) => id === 's1' && sender === 'e0' && end === 'no_room');
	t.false(host.events.some(({event}) => event === 'response_invalid'));
});
