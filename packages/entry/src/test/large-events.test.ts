/** Guards against the unfinished events of many streams, which each are no larger than an event may be, and together take the memory of a host. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createHeldBytes} from '../lib/held-bytes/create-held-bytes.js';
import {createHold} from '../lib/held-bytes/create-hold.js';
import {createEventWriter} from '../lib/relaying/create-event-writer.js';
import {openStream} from './lib/open-stream.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const noCounter = {increment: () => undefined, recordMax: () => undefined};

/** The size of a part of an event up to which no room is needed, in bytes. */
const smallBytes = 65_536;

const createWriter = (account: ReturnType<typeof createHeldBytes>) => {
	const written: Uint8Array[] = [];
	const res = {
		write(bytes: Uint8Array) {
			written.push(bytes);
			return true;
		},
	};
	return {
		...createEventWriter(res, {
			lastId: undefined, resumedAfter: undefined, beforeWrite: () => undefined, hold: createHold(account),
		}),
		text: () => Buffer.concat(written).toString(),
	};
};

test('unfinished events of many streams are all held, beyond the room of the host', t => {
	const account = createHeldBytes(16 * smallBytes, noCounter);
	const writers = Array.from({length: 20}, () => createWriter(account));
	const part = Buffer.alloc(smallBytes, 'a');
	const faults = writers.map(({write}) => [1, 2, 3, 4].map(() => write(part).fault));
	t.is(account.heldBytes(), 16 * smallBytes);
	t.is(faults.filter(list => list.every(fault => fault === undefined)).length, 4);
	t.is(faults.filter(list => list[1] === 'no_room').length, 16);

	const small = createWriter(account);
	t.is(small.write(part).fault, undefined, 'a small part of an event waits for the room of large ones');
	t.is(small.write(Buffer.from('\n\n')).fault, undefined);
	t.is(small.text(), `${part.toString()}\n\n`);

	t.is(writers[0]!.write(Buffer.from('\n\n')).fault, undefined);
	t.is(account.heldBytes(), 12 * smallBytes);
	for (const writer of writers) {
		writer.close();
	}

	t.is(account.heldBytes(), 0);
});

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
