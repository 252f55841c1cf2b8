import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {isHeaderValue} from '../lib/sending/is-header-value.js';
import {relayChunks} from './lib/relay-chunks.js';
import {splitAt} from './lib/split-at.js';

test('only the bytes of complete events are returned, with the newest id among them', t => {
	const chunks = ['id: 1\ndata: a\n\ndata: no id\n\nid: 3\nda', 'ta: b\n\n'].map(text => Buffer.from(text));
	t.deepEqual(relayChunks(chunks.slice(0, 1)), {
		text: 'id: 1\ndata: a\n\ndata: no id\n\n', fault: undefined, lastId: '1', count: 2, isInsideEvent: true,
	});
	t.deepEqual(relayChunks(chunks), {
		text: 'id: 1\ndata: a\n\ndata: no id\n\nid: 3\ndata: b\n\n', fault: undefined, lastId: '3', count: 3, isInsideEvent: false,
	});
});

test('the split of a stream into chunks changes neither the bytes, the count nor the last id', t => {
	const event = fc.tuple(fc.nat(), fc.boolean()).map(([id, hasId]) => `${hasId ? `id: ${id}\n` : ''}data: piece\n\n`);
	fc.assert(fc.property(fc.array(event), fc.array(fc.nat(20)), (events, sizes) => {
		const bytes = Buffer.from(events.join(''));
		const split = relayChunks(splitAt(bytes, sizes));
		const unsplit = relayChunks([bytes]);
		return split.text === bytes.toString() && split.count === events.length && split.lastId === unsplit.lastId;
	}));
	t.pass();
});

test('the id after which a stream is resumed is one that no header holds', t => {
	const piece = fc.oneof(fc.constantFrom('id: ', 'id:', 'data: ', '\n', '\n\n', '\r\n'), fc.uint8Array({maxLength: 4}).map(bytes => Buffer.from(bytes).toString('latin1')));
	fc.assert(fc.property(fc.array(piece, {maxLength: 20}), pieces => {
		const bytes = Buffer.from(pieces.join(''), 'latin1');
		const {text, lastId, fault, isInsideEvent} = relayChunks([bytes]);
		const all = bytes.toString('latin1');
		const rest = all.slice(text.length);
		const isAllScanned = fault === 'event_id' || (rest === '') === !isInsideEvent;
		return isHeaderValue(lastId ?? '') && all.startsWith(text) && isAllScanned && (fault === 'event_id' || !rest.includes('\n\n'));
	}));
	t.pass();
});

const scanResumed = (resumedAfter: string, text: string) => {
	const {isInsideEvent: _, ...relayed} = relayChunks([Buffer.from(text)], {lastId: resumedAfter, resumedAfter});
	return relayed;
};

for (const [last, id] of [['1', '1'], ['10', '9'], ['9007199254740993', '9007199254740992'], ['a', 'a'], ['7', '07']] as const) {
	test(`a run that is to go on after event ${last} begins with event ${id}`, t => {
		const events = `data: no id\n\nid: ${id}\ndata: piece\n\nid: 11\ndata: piece\n\n`;
		t.deepEqual(scanResumed(last, events), {
			text: '', fault: 'event_order', lastId: last, count: 0,
		});
	});
}

for (const [last, id] of [['1', '2'], ['9', '10'], ['9007199254740992', '9007199254740993'], ['a', 'b'], ['b', 'a'], ['1-a', '2']] as const) {
	test(`a run that goes on after event ${last} is broken off before event ${id}`, t => {
		const events = `data: no id\n\nid: ${id}\ndata: piece\n\n`;
		t.deepEqual(scanResumed(last, events), {
			text: events, fault: undefined, lastId: id, count: 2,
		});
	});
}

test('a run is broken off for the order of ids after its first one', t => {
	const events = 'id: 3\ndata: piece\n\nid: 1\ndata: piece\n\nid: 1\ndata: piece\n\n';
	t.like(scanResumed('2', events), {text: events, fault: undefined, count: 3});
	t.like(relayChunks([Buffer.from(events)]), {fault: undefined, count: 3});
});
