import type {ServerResponse} from 'node:http';
import {createHold, type Hold} from '../held-bytes/create-hold.js';
import {createEventBuffer} from './create-event-buffer.js';
import type {EventWriter} from './event-writer.js';
import {maxEventBytes} from './max-event-bytes.js';
import {scanEvents} from './scan-events.js';
import type {ScanState} from './scan-state.js';

/** Up to this size, a part of an event is held without room for it, in bytes: few events are larger, and those never wait for the room that large ones take. */
const maxUncountedBytes = 65_536;

/** From this size on, an event for which there is no room counts as one that does not end, in bytes: few sound ones are as large. */
const maxLikelyBytes = 1024 * 1024;

type Options = {
	/** The id of the last event that earlier runs of the request relayed; `undefined` if there is none. */
	readonly lastId: string | undefined;
	/** The id of the event after which the run resumes the stream; `undefined` where it begins one. */
	readonly resumedAfter: string | undefined;
	/** Called each time before events are written, with their number. */
	readonly beforeWrite: (events: number) => void;
	/** The hold of a part of an event that is larger than most are. By default, a host has room for each. */
	readonly hold?: Hold;
	/** The largest event that is relayed, in bytes. */
	readonly maxBytes?: number;
};

const createUnlimitedHold = (): Hold => createHold({tryHold: () => true, release: () => undefined});

/** Creates the writer of one run's events. It owns how far the run was scanned, and what came of an event whose end has not. */
export const createEventWriter = (res: Pick<ServerResponse, 'write'>, {lastId, resumedAfter, beforeWrite, hold = createUnlimitedHold(), maxBytes = maxEventBytes}: Options): EventWriter => {
	const held = createEventBuffer();
	let state: ScanState = {lastId, resumedAfter, count: 0};

	const clear = (): void => {
		held.clear();
		hold.release();
	};

	/** Holds the rest of a chunk as well; returns whether there is room for it. */
	const tryHold = (rest: Uint8Array): boolean => {
		const heldBytes = held.bytes().length + rest.length;
		const hasRoom = heldBytes <= maxUncountedBytes || hold.tryAdd(heldBytes - hold.bytes());
		if (hasRoom) {
			held.append(rest);
		}

		return hasRoom;
	};

	const faultWithoutRoom = (): 'event_too_long' | 'no_room' => held.bytes().length < maxLikelyBytes ? 'no_room' : 'event_too_long';

	return {
		write(chunk) {
			const scan = scanEvents(state, held.bytes(), chunk, maxBytes);
			const events = scan.state.count - state.count;
			state = scan.state;
			if (scan.completeBytes.length > 0 || scan.fault) {
				clear();
			}

			const fault = tryHold(scan.rest) ? scan.fault : faultWithoutRoom();
			if (scan.completeBytes.length === 0) {
				return {isFull: false, fault};
			}

			beforeWrite(events);
			return {isFull: !res.write(scan.completeBytes), fault};
		},
		isInsideEvent: () => held.bytes().length > 0,
		progress: () => ({lastId: state.lastId, count: state.count}),
		close: clear,
	};
};
