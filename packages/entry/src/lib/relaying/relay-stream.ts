import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ScanState} from './scan-state.js';
import type {RelayEnd} from './relay-end.js';
import {scanEvents} from './scan-events.js';

type RelayOptions = {
	/** The id of the last event that earlier runs of the request relayed to the caller; `undefined` if there is none. */
	readonly lastId: string | undefined;
	/** Called when bytes arrive from the endpoint. */
	readonly onChunk: () => void;
	/** Called each time before events are written to the caller, with their number. */
	readonly beforeWrite: (events: number) => void;
	/** Called when an event came that cannot be one of the stream. Neither it nor anything after it is relayed, and the stream counts as broken. */
	readonly onInvalid: () => void;
};

/**
Relays a stream of server-sent events from an endpoint to the caller, each event once it is complete. Reading from the endpoint pauses
while the caller reads too slowly. Never rejects.

The response to the caller is left open, so that another run of the request can continue the stream.

*/
export const relayStream = async (response: IncomingMessage, res: ServerResponse, {lastId, onChunk, beforeWrite, onInvalid}: RelayOptions): Promise<RelayEnd> => new Promise(resolve => {
	let state: ScanState = {remainder: Buffer.alloc(0), lastId, count: 0};
	const finish = (type: RelayEnd['type']): void => {
		resolve({type, lastId: state.lastId, count: state.count});
	};

	// Either may have closed before this function was called, and then emits no further event.
	if (res.closed || response.closed) {
		finish(res.closed ? 'caller_left' : 'broken');
		response.destroy();
		return;
	}

	const resume = (): void => {
		response.resume();
	};

	response.on('data', (chunk: Uint8Array) => {
		onChunk();
		const scan = scanEvents(state, chunk);
		const events = scan.state.count - state.count;
		state = scan.state;
		if (scan.completeBytes.length > 0) {
			beforeWrite(events);
			if (!res.write(scan.completeBytes)) {
				response.pause();
				res.once('drain', resume);
			}
		}

		if (scan.isInvalid) {
			onInvalid();
			finish('broken');
			response.destroy();
		}
	});
	response.on('end', () => {
		finish(response.complete && state.remainder.length === 0 ? 'whole' : 'broken');
	});
	response.on('close', () => {
		finish('broken');
	});
	res.on('close', () => {
		finish('caller_left');
		response.destroy();
	});
});
