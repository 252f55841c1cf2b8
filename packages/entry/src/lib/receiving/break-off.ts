import type {RelayEnd} from '../relaying/relay-end.js';
import type {AttemptEnd} from '../request/attempt-end.js';
import type {HostContext} from '../request/host-context.js';
import type {ResponseTrace} from '../response-ends/response-trace.js';
import {traceFields} from '../response-ends/trace-fields.js';
import type {FramedResponse} from './received-response.js';
import {traceOf} from './trace-of.js';

/** Ends an attempt whose response is not whole, and logs it. `relayed`: what the caller got of a stream. */
export const breakOff = (received: FramedResponse, end: ResponseTrace['end'], host: HostContext, relayed?: RelayEnd): AttemptEnd & {readonly type: 'lost'} => {
	const trace = traceOf(received, end, relayed);
	host.log('response_broken', {
		id: received.request.id, endpoint: received.endpoint.id, bytes: received.size.bytes(), held: host.heldBytes.heldBytes(), max_held: host.heldBytes.maxBytes, ...traceFields(trace),
	});
	return {
		type: 'lost', reason: 'broken', relayed, trace,
	};
};
