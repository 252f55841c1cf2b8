import {Buffer} from 'node:buffer';
import type {EventScanner} from './event-scanner.js';

const idField = /^id: ?(.*)$/m;

type Scan = {readonly scanner: EventScanner; /** Bytes of the events that became whole. */ readonly whole: Uint8Array};

/** Takes in the next bytes of a stream and tells which of them make whole events. Events end with an empty line. */
export const scanEvents = ({rest, lastId, count}: EventScanner, chunk: Uint8Array): Scan => {
	const bytes = Buffer.concat([rest, chunk]);
	const end = bytes.lastIndexOf('\n\n');
	if (end === -1) {
		return {scanner: {rest: bytes, lastId, count}, whole: Buffer.alloc(0)};
	}

	const whole = bytes.subarray(0, end + 2);
	const events = whole.toString('latin1').split('\n\n').filter(Boolean);
	const newestId = events.map(event => idField.exec(event)?.[1]).findLast(id => id !== undefined);
	return {
		whole,
		scanner: {rest: bytes.subarray(end + 2), lastId: newestId ?? lastId, count: count + events.length},
	};
};
