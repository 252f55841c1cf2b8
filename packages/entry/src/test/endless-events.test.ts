/**
Guards against an endpoint that does not end an event of a stream: a host that holds what comes of it without a bound runs out of memory, and one that reads
all of it again with each chunk does nothing else meanwhile.
*/
import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {maxEventBytes} from '../lib/relaying/max-event-bytes.js';
import {countTouchedBytes} from './lib/count-touched-bytes.js';
import {openStream} from './lib/open-stream.js';
import {relayChunks as relayAll} from './lib/relay-chunks.js';
import {splitAt} from './lib/split-at.js';
import type {Answer} from './lib/start-endpoint.js';
import {startHostBefore} from './lib/start-host-before.js';

/** How many bytes may be copied, searched or decoded for each byte of a stream. */
const maxTouchesPerByte = 8;

/** The largest event that the tests of the writer alone relay, in bytes. */
const maxBytes = 1024 * 1024;

const relayChunks = (chunks: Iterable<Uint8Array>) => relayAll(chunks, {maxBytes});

const splitEvenly = function * (bytes: Uint8Array, size: number): Generator<Uint8Array> {
	for (let at = 0; at < bytes.length; at += size) {
		yield bytes.subarray(at, at + size);
	}
};

/** An event with this number of bytes, with the empty line that ends it. */
const eventOfBytes = (size: number): string => `id: 7\ndata: ${'a'.repeat(size - 'id: 7\ndata: \n\n'.length)}\n\n`;

for (const size of [16, 1000, 16_384]) {
	test.serial(`what came of an event is read again with each chunk (${size} bytes)`, t => {
		const bytes = Buffer.from(eventOfBytes(maxBytes / 4));
		const touched = countTouchedBytes(() => {
			t.is(relayChunks(splitEvenly(bytes, size)).count, 1);
		});
		t.true(touched <= bytes.length * maxTouchesPerByte, `${touched} bytes touched for ${bytes.length}`);
	});
}

for (const size of [4096, 16_384]) {
	test.serial(`an event without its end is held without a bound (${size} bytes a chunk)`, t => {
		let sent = 0;
		const endless = function * (): Generator<Uint8Array> {
			yield Buffer.from('id: 1\ndata: a\n\n');
			while (sent < 4 * maxBytes) {
				sent += size;
				yield Buffer.alloc(size, 'a');
			}
		};

		t.deepEqual(relayChunks(endless()), {
			text: 'id: 1\ndata: a\n\n', fault: 'event_too_long', lastId: '1', count: 1, isInsideEvent: false,
		});
		t.true(sent < maxBytes + size);
	});
}

test('the largest event is not relayed', t => {
	for (const size of [7, 16_384, maxBytes]) {
		const text = `${eventOfBytes(maxBytes)}${eventOfBytes(100)}`;
		const {text: relayed, ...end} = relayChunks(splitEvenly(Buffer.from(text), size));
		t.deepEqual(end, {
			fault: undefined, lastId: '7', count: 2, isInsideEvent: false,
		});
		t.true(relayed === text);
	}
});

test('how a stream is split into chunks decides which events are relayed, and which one is at fault', t => {
	const piece = fc.oneof(
		fc.constantFrom('id: ', 'id:', 'data: ', '\n', '\n\n', '\r\n', '\u0000'),
		fc.nat(99).map(String),
	);
	fc.assert(fc.property(fc.array(piece, {maxLength: 40}), fc.array(fc.nat(9)), (pieces, sizes) => {
		const bytes = Buffer.from(pieces.join(''), 'latin1');
		t.deepEqual(relayChunks(splitAt(bytes, sizes)), relayChunks([bytes]));
	}), {numRuns: 1000});
});

test('how a stream is split into chunks decides whether an event is too long', t => {
	const event = fc.tuple(fc.constantFrom(100, maxBytes), fc.integer({min: -2, max: 2})).map(([size, more]) => eventOfBytes(size + more));
	const size = fc.oneof(fc.nat(3), fc.integer({min: maxBytes - 200, max: maxBytes + 2}), fc.integer({min: 1000, max: 2 * maxBytes}));
	fc.assert(fc.property(fc.array(event, {maxLength: 3}), fc.nat(3), fc.array(size, {maxLength: 6}), (events, missing, sizes) => {
		const whole = Buffer.from(events.join(''));
		const bytes = whole.subarray(0, Math.max(0, whole.length - missing));
		const split = relayChunks(splitAt(bytes, sizes));
		const unsplit = relayChunks([bytes]);
		t.true(split.text === unsplit.text);
		t.deepEqual({...split, text: ''}, {...unsplit, text: ''});
	}), {numRuns: 40});
});

const sendEndless = (chunkBytes: number, onClose: (sentBytes: number) => void): Answer => (_req, res) => {
	let sentBytes = 0;
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.on('error', () => undefined);
	res.on('close', () => {
		onClose(sentBytes);
	});
	const send = (): void => {
		sentBytes += chunkBytes;
		// The end of the trial where nothing bounds it.
		if (sentBytes > 2 * maxBytesUnderWay) {
			res.destroy();
		} else if (!res.destroyed) {
			res.write(Buffer.alloc(chunkBytes, 'a'), () => {
				setImmediate(send);
			});
		}
	};

	res.write('id: 1\ndata: piece\n\nid: 2\ndata: ', send);
};

/** How many bytes may be sent before the end: an event, and what the kernel and the two processes hold of a connection on which nothing is read any more. */
const maxBytesUnderWay = maxEventBytes + (8 * 1024 * 1024);

const callEndless = async (t: ExecutionContext, chunkBytes: number, isResumable: boolean) => {
	let runs = 0;
	let noteClosed: (sentBytes: number) => void;
	const closed = new Promise<number>(resolve => {
		noteClosed = resolve;
	});
	const answer: Answer = (req, res) => {
		if (runs++ === 0) {
			sendEndless(chunkBytes, noteClosed)(req, res);
		} else {
			res.writeHead(200, {'content-type': 'text/event-stream'});
			res.end('id: 2\ndata: piece\n\nid: 3\ndata: piece\n\n');
		}
	};

	const host = await startHostBefore(t, {kind: 'stream', isResumable}, [answer, answer]);
	const {isWhole, body} = await openStream(host.callers, 's1').ended;
	t.true(await closed <= maxBytesUnderWay);
	await host.logged('response_invalid', ({id, endpoint, reason}) => id === 's1' && endpoint === 'e0' && reason === 'event_too_long');
	return {isWhole, body, runs};
};

for (const [speed, chunkBytes] of [['as fast as it is read', 65_536], ['in small pieces', 2048]] as const) {
	test(`a host reads on after an event that comes without end, ${speed}`, async t => {
		t.deepEqual(await callEndless(t, chunkBytes, false), {isWhole: false, body: 'id: 1\ndata: piece\n\n', runs: 1});
	});

	test(`a stream does not go on at another endpoint after an event that comes without end, ${speed}`, async t => {
		t.deepEqual(await callEndless(t, chunkBytes, true), {
			isWhole: true, body: 'id: 1\ndata: piece\n\nid: 2\ndata: piece\n\nid: 3\ndata: piece\n\n', runs: 2,
		});
	});
}
