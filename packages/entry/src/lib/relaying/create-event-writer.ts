import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
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

/** Creates the writer of one run's events. It owns how far the run was scanned. */
export const createEventWriter = (res: Pick<ServerResponse, 'write'>, {lastId, resumedAfter, beforeWrite}: Options): EventWriter => {
	let state: ScanState = {
		remainder: Buffer.alloc(0), lastId, resumedAfter, count: 0,
	};

	return {
		write(chunk) {
			const scan = scanEvents(state, chunk);
			const events = scan.state.count - state.count;
			state = scan.state;
			if (scan.completeBytes.length === 0) {
				return {isFull: false, fault: scan.fault};
			}

			beforeWrite(events);
			return {isFull: !res.write(scan.completeBytes), fault: scan.fault};
		},
		isInsideEvent: () => state.remainder.length > 0,
		progress: () => ({lastId: state.lastId, count: state.count}),
	};
};
