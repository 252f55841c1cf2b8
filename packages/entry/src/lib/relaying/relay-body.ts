import type {IncomingMessage, ServerResponse} from 'node:http';
import {onceAborted} from '../sending/once-aborted.js';
import type {CallerWait} from '../receiving/caller-wait.js';
import {createFlowControl} from './create-flow-control.js';
import {onceResponseClosed} from './once-response-closed.js';

/**
How the relay of a body ended. `whole`: all of it was handed to the caller's connection. `broken`: the endpoint's connection broke before, or the attempt
was given up. `too_long`: more came than any response may have.
*/
type BodyRelayEnd = 'whole' | 'broken' | 'too_long' | 'caller_left';

type Options = {
	/** What was held of the body, which is relayed first. */
	readonly parts: readonly Uint8Array[];
	/** Called once the caller's connection has taken those parts; not always where it is closed before. */
	readonly onHeldTaken: () => void;
	/** The most bytes that a body may have. */
	readonly maxBytes: number;
	/** The bytes of the body that have come so far. */
	readonly bytes: () => number;
	/** Called with the length of each further part, in bytes. */
	readonly onChunk: (bytes: number) => void;
	/** Is told when the relay waits for the caller. */
	readonly callerWait: CallerWait;
	/** Aborted when the attempt is given up. A response that is complete by then is still relayed. */
	readonly signal: AbortSignal;
};

/**
Relays the body of a paused response to the caller, as fast as the caller reads. The head is written already, and the response to the caller is left
open: whether the body is whole may have to be found out first. Never rejects.
*/
export const relayBody = async (response: IncomingMessage, res: ServerResponse, options: Options): Promise<BodyRelayEnd> => new Promise(resolve => {
	const {parts, onHeldTaken, maxBytes, bytes, onChunk, callerWait, signal} = options;
	const flow = createFlowControl(response, res, callerWait);
	const stopListening = onceAborted(signal, () => {
		if (response.complete) {
			flow.release();
		}
	});
	const stopWaiting = onceResponseClosed(res, () => {
		finish('caller_left');
	});

	const finish = (end: BodyRelayEnd): void => {
		stopListening();
		stopWaiting();
		response.off('data', onData);
		resolve(end);
		if (end !== 'whole') {
			response.destroy();
		}
	};

	const onData = (chunk: Uint8Array): void => {
		onChunk(chunk.length);
		if (bytes() > maxBytes) {
			finish('too_long');
		} else if (!res.write(chunk)) {
			flow.pauseUntilDrain();
		}
	};

	// Either may have closed before this function was called, and then emits no further event.
	if (res.closed || response.closed) {
		onHeldTaken();
		finish(res.closed ? 'caller_left' : 'broken');
		return;
	}

	response.on('data', onData);
	response.on('end', () => {
		finish(response.complete ? 'whole' : 'broken');
	});
	response.on('close', () => {
		finish('broken');
	});
	for (const [index, part] of parts.entries()) {
		res.write(part, index === parts.length - 1 ? onHeldTaken : undefined);
	}

	if (res.writableNeedDrain) {
		flow.pauseUntilDrain();
	} else {
		response.resume();
	}
});
