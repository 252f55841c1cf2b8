import type {ServerResponse} from 'node:http';
import {createEventBuffer} from './create-event-buffer.js';
import type {EventWriter} from './event-writer.js';
import {scanEvents} from './scan-events.js';
import type {ScanState} from './scan-state.js';

type Options = {
	/** The id of the last event that earlier runs of the request relayed; `undefined` if there is none. */
	readonly lastId: string | undefined;
	/** The id of the event after which the run resumes the stream; `undefined` where it begins one. */
	readonly resumedAfter: string | undefined;
	/** Called each time before events are written, with their number. */
	readonly beforeWrite: (events: number) => void;
};

/** Creates the writer of one run's events. It owns how far the run was scanned, and what came of an event whose end has not. */
export const createEventWriter = (res: Pick<ServerResponse, 'write'>, {lastId, resumedAfter, beforeWrite}: Options): EventWriter => {
	const held = createEventBuffer();
	let state: ScanState = {lastId, resumedAfter, count: 0};

	return {
		write(chunk) {
			const scan = scanEvents(state, held.bytes(), chunk);
			const events = scan.state.count - state.count;
			state = scan.state;
			if (scan.completeBytes.length > 0 || scan.fault) {
				held.clear();
			}

			held.append(scan.rest);
			if (scan.completeBytes.length === 0) {
				return {isFull: false, fault: scan.fault};
			}

			beforeWrite(events);
			return {isFull: !res.write(scan.completeBytes), fault: scan.fault};
		},
		isInsideEvent: () => held.bytes().length > 0,
		progress: () => ({lastId: state.lastId, count: state.count}),
	};
};
