import {Buffer} from 'node:buffer';
import {isHeaderValue} from '../sending/is-header-value.js';
import type {EventFault} from './event-fault.js';
import {isIdAbove} from './is-id-above.js';
import type {ScanState} from './scan-state.js';

const idField = /^id: ?(.*)$/m;

const lf = 0x0A;

const noBytes = Buffer.alloc(0);

const toText = ({buffer, byteOffset, length}: Uint8Array): string => Buffer.from(buffer, byteOffset, length).toString('latin1');

type Scan = {
	readonly state: ScanState;
	/** The bytes of the events that the chunk completed, up to one with a fault; none where a run does not resume the stream. */
	readonly completeBytes: Uint8Array;
	/** The bytes of the chunk after the last complete event; none where there is a fault. */
	readonly rest: Uint8Array;
	/** What is wrong with the last event that was scanned; `undefined` where nothing is. */
	readonly fault: EventFault | undefined;
};

/** Where the event ends that goes on at `start`; 0 where it does not end in this text. An empty line without an event before it ends with itself. */
const endOfEvent = (text: string, start: number, isLineStart: boolean): number => {
	if (isLineStart && text[start] === '\n') {
		return start + 1;
	}

	const at = text.indexOf('\n\n', start);
	return at === -1 ? 0 : at + 2;
};

/** Scans one complete event. Pure. */
const stepEvent = ({lastId, resumedAfter, count}: ScanState, event: string, maxBytes: number): ScanState | EventFault => {
	if (event.length > maxBytes) {
		return 'event_too_long';
	}

	const id = idField.exec(event)?.[1];
	if (id !== undefined && !isHeaderValue(id)) {
		return 'event_id';
	}

	if (id !== undefined && resumedAfter !== undefined && !isIdAbove(id, resumedAfter)) {
		return 'event_order';
	}

	return {
		lastId: id ?? lastId, resumedAfter: id === undefined ? resumedAfter : undefined, count: count + (event === '\n' ? 0 : 1),
	};
};

/**
Scans the next chunk of a stream of server-sent events for complete events, each of which ends with an empty line. Pure.

@param held What came of the event that goes on with the chunk. It is not searched again.
@param maxBytes The largest event that is none with a fault, in bytes.
*/
export const scanEvents = (state: ScanState, held: Uint8Array, chunk: Uint8Array, maxBytes: number): Scan => {
	const text = toText(chunk);
	const completeUpTo = (end: number): Uint8Array => {
		if (end === 0 || held.length === 0) {
			return chunk.subarray(0, end);
		}

		return Buffer.concat([held, chunk.subarray(0, end)]);
	};

	let scanned = state;
	let start = 0;
	let end = endOfEvent(text, 0, held.length === 0 || held.at(-1) === lf);
	while (end > 0) {
		const event = text.slice(start, end);
		const next = stepEvent(scanned, start === 0 ? `${toText(held)}${event}` : event, maxBytes);
		if (typeof next === 'string') {
			const isRelayed = next !== 'event_order';
			return {
				state: isRelayed ? scanned : state, completeBytes: completeUpTo(isRelayed ? start : 0), rest: noBytes, fault: next,
			};
		}

		scanned = next;
		start = end;
		end = endOfEvent(text, start, true);
	}

	const rest = chunk.subarray(start);
	const heldBytes = (start === 0 ? held.length : 0) + rest.length;
	const isTooLong = heldBytes >= maxBytes;
	return {
		state: scanned, completeBytes: completeUpTo(start), rest: isTooLong ? noBytes : rest, fault: isTooLong ? 'event_too_long' : undefined,
	};
};
