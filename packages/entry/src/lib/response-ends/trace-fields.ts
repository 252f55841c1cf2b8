import type {LogFields} from '@deckwheel/host-kit';
import type {ResponseTrace} from './response-trace.js';

/** The fields of the log that tell how a response came and ended. */
export const traceFields = (trace: ResponseTrace | undefined): LogFields =>
	({
		framing: trace?.framing, through: trace?.peer, events: trace?.events, end: trace?.end,
	});
