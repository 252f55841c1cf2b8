import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Hold} from '../held-bytes/create-hold.js';
import {onceAborted} from '../sending/once-aborted.js';
import type {EventFault} from './event-fault.js';
import type {RelayEnd} from './relay-end.js';
import {createEventWriter} from './create-event-writer.js';
import {createFlowControl} from './create-flow-control.js';
import {createIntake} from './create-intake.js';

type RelayOptions = {
	/** The id of the last event that earlier runs of the request relayed to the caller; `undefined` if there is none. */
	readonly lastId: string | undefined;
	/** The id of the event after which this run resumes the stream, which its first one has to be above; `undefined` where it begins one. */
	readonly resumedAfter: string | undefined;
	/** Nothing is relayed before it is resolved. What the endpoint writes until then is relayed afterwards, also if its connection has closed. */
	readonly ready: Promise<void>;
	/** Aborted when the attempt is given up. A response that is complete by then is still relayed. */
	readonly signal: AbortSignal;
	/** Called when bytes arrive from the endpoint, with their number. */
	readonly onChunk: (bytes: number) => void;
	/** Called each time before events are written to the caller, with their number. */
	readonly beforeWrite: (events: number) => void;
	/** Called when an event came that cannot be one of the stream. Neither it nor anything after it is relayed, and the stream counts as broken. */
	readonly onInvalid: (fault: EventFault) => void;
	/** The hold of a part of an event that is larger than most are. By default, a host has room for each. */
	readonly hold?: Hold;
};

/**
Relays a stream of server-sent events from an endpoint to the caller, each event once it is complete. Reading from the endpoint pauses
while the caller reads too slowly. Never rejects.

The response to the caller is left open, so that another run of the request can continue the stream.

*/
export const relayStream = async (response: IncomingMessage, res: ServerResponse, options: RelayOptions): Promise<RelayEnd> => new Promise(resolve => {
	const {ready, signal, onChunk, onInvalid} = options;
	let isFinished = false;
	const events = createEventWriter(res, options);
	const flow = createFlowControl(response, res);

	// What is left of a complete response waits in this process. It is handed to the caller's connection at once.
	const stopListening = onceAborted(signal, () => {
		if (response.complete) {
			flow.release();
		}
	});

	const finish = (type: RelayEnd['type'], lacksRoom?: boolean): void => {
		isFinished = true;
		stopListening();
		events.close();
		resolve({type, ...(lacksRoom && {lacksRoom}), ...events.progress()});
	};

	const breakOff = (type: 'broken' | 'caller_left', lacksRoom?: boolean): void => {
		finish(type, lacksRoom);
		response.destroy();
	};

	const relay = (chunk: Uint8Array): void => {
		if (isFinished) {
			return;
		}

		const {isFull, fault} = events.write(chunk);
		if (isFull) {
			flow.pauseUntilDrain();
		}

		if (fault === 'no_room') {
			breakOff('broken', true);
		} else if (fault) {
			onInvalid(fault);
			breakOff('broken');
		}
	};

	// Either may have closed before this function was called, and then emits no further event.
	if (res.closed || response.closed) {
		breakOff(res.closed ? 'caller_left' : 'broken');
		return;
	}

	const intake = createIntake(ready, flow, relay);
	response.on('data', (chunk: Uint8Array) => {
		onChunk(chunk.length);
		intake.take(chunk);
	});
	response.on('end', () => {
		intake.afterAll(() => {
			finish(response.complete && !events.isInsideEvent() ? 'whole' : 'broken');
		});
	});
	response.on('close', () => {
		intake.afterAll(() => {
			finish('broken');
		});
	});
	res.on('close', () => {
		breakOff('caller_left');
	});
});
