import type {RelayEnd} from '../relaying/relay-end.js';
import type {ResponseTrace} from '../response-ends/response-trace.js';
import type {FramedResponse} from './received-response.js';

/** How a response came and ended, for the log. `relayed`: what the caller got of a stream. */
export const traceOf = ({framing, tunnel}: Pick<FramedResponse, 'framing' | 'tunnel'>, end: ResponseTrace['end'], relayed?: RelayEnd): ResponseTrace =>
	({
		framing, peer: tunnel?.peer, events: relayed?.count, end,
	});
