import {Buffer} from 'node:buffer';
import type {EventBuffer} from './event-buffer.js';
import {maxEventBytes} from './max-event-bytes.js';

/** How many times the needed size is allocated, so that each byte is copied to a larger buffer less than once on average. */
const growthFactor = 2;

/** The least that is allocated, and the most that is kept for the next event, in bytes: events of some tokens are smaller. */
const keptBytes = 1024;

const noBytes = Buffer.alloc(0);

/**
Creates an empty buffer. It copies what it takes: a chunk is often a small part of a large buffer, which would stay as long as the chunk, and an object
for each of many small chunks would take more memory than their bytes.
*/
export const createEventBuffer = (): EventBuffer => {
	let storage = noBytes;
	let length = 0;

	return {
		bytes: () => storage.subarray(0, length),
		append(bytes) {
			const needed = length + bytes.length;
			if (needed > storage.length) {
				const larger = Buffer.allocUnsafeSlow(Math.max(needed, keptBytes, Math.min(needed * growthFactor, maxEventBytes)));
				larger.set(storage.subarray(0, length));
				storage = larger;
			}

			storage.set(bytes, length);
			length = needed;
		},
		clear() {
			storage = storage.length > keptBytes ? noBytes : storage;
			length = 0;
		},
	};
};
