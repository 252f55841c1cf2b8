import {Buffer} from 'node:buffer';
import type {EventScanner} from './event-scanner.js';

const idField = /^id: ?(.*)$/m;

const noBytes = Buffer.alloc(0);

type Scan = {readonly scanner: EventScanner; /** Bytes of the events that became whole. */ readonly whole: Uint8Array};

/** Takes in the next bytes of a stream and tells which of them make whole events. Events end with an empty line. */
export const scanEvents = ({rest, lastId, count}: EventScanner, chunk: Uint8Array): Scan => {
	const bytes = rest.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length) : Buffer.concat([rest, chunk]);
	const end = bytes.lastIndexOf('\n\n');
	if (end === -1) {
		return {scanner: {rest: bytes, lastId, count}, whole: noBytes};
	}

	const whole = bytes.subarray(0, end + 2);
	let newestId = lastId;
	let events = 0;
	for (const event of whole.toString('latin1').split('\n\n')) {
		events += event === '' ? 0 : 1;
		newestId = idField.exec(event)?.[1] ?? newestId;
	}

	return {whole, scanner: {rest: bytes.subarray(end + 2), lastId: newestId, count: count + events}};
};
