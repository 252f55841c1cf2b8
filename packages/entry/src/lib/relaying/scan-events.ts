import {Buffer} from 'node:buffer';
import {isHeaderValue} from '../sending/is-header-value.js';
import type {ScanState} from './scan-state.js';

const idField = /^id: ?(.*)$/m;

const noBytes = Buffer.alloc(0);

type Scan = {
	readonly state: ScanState;
	/** The bytes of the events that the chunk completed, up to one that is invalid. */
	readonly completeBytes: Uint8Array;
	/** Whether the chunk completed an event after which no endpoint can resume the stream, since no header holds its id. */
	readonly isInvalid: boolean;
};

/** Scans the next chunk of a stream of server-sent events for complete events, each of which ends with an empty line. Pure. */
export const scanEvents = ({remainder, lastId, count}: ScanState, chunk: Uint8Array): Scan => {
	const bytes = remainder.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length) : Buffer.concat([remainder, chunk]);
	const end = bytes.lastIndexOf('\n\n');
	if (end === -1) {
		return {state: {remainder: bytes, lastId, count}, completeBytes: noBytes, isInvalid: false};
	}

	const completeBytes = bytes.subarray(0, end + 2);
	let newestId = lastId;
	let events = 0;
	let scannedBytes = 0;
	for (const event of completeBytes.toString('latin1').split('\n\n')) {
		const id = idField.exec(event)?.[1];
		if (id !== undefined && !isHeaderValue(id)) {
			return {state: {remainder: noBytes, lastId: newestId, count: count + events}, completeBytes: completeBytes.subarray(0, scannedBytes), isInvalid: true};
		}

		events += event === '' ? 0 : 1;
		newestId = id ?? newestId;
		scannedBytes += event.length + 2;
	}

	return {state: {remainder: bytes.subarray(end + 2), lastId: newestId, count: count + events}, completeBytes, isInvalid: false};
};
