import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {scanEvents} from '../lib/relaying/scan-events.js';

const start = {rest: Buffer.alloc(0), lastId: undefined, count: 0};

test('only whole events are given on, with the newest id among them', t => {
	const {scanner, whole} = scanEvents(start, Buffer.from('id: 1\ndata: a\n\ndata: no id\n\nid: 3\nda'));
	t.is(Buffer.from(whole).toString(), 'id: 1\ndata: a\n\ndata: no id\n\n');
	t.deepEqual({...scanner, rest: Buffer.from(scanner.rest).toString()}, {rest: 'id: 3\nda', lastId: '1', count: 2});
});

test('how a stream is cut into chunks changes nothing', t => {
	const event = fc.tuple(fc.nat(), fc.boolean()).map(([id, hasId]) => `${hasId ? `id: ${id}\n` : ''}data: piece\n\n`);
	fc.assert(fc.property(fc.array(event), fc.array(fc.nat(20)), (events, sizes) => {
		const bytes = Buffer.from(events.join(''));
		let scanner: ReturnType<typeof scanEvents>['scanner'] = start;
		let given = '';
		let at = 0;
		for (const size of [...sizes, bytes.length]) {
			const scan = scanEvents(scanner, bytes.subarray(at, at + size));
			scanner = scan.scanner;
			given += Buffer.from(scan.whole).toString();
			at += size;
		}

		const atOnce = scanEvents(start, bytes);
		return given === bytes.toString() && scanner.count === events.length && scanner.lastId === atOnce.scanner.lastId;
	}));
	t.pass();
});
