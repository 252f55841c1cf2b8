import {isSuccessStatus} from '@deckwheel/core';
import {framingOf} from '@deckwheel/host-kit';
import {createHold} from '../held-bytes/create-hold.js';
import {breakOff} from '../receiving/break-off.js';
import {checkResponseEnd} from '../receiving/check-response-end.js';
import {isWholeEnd} from '../receiving/is-whole-end.js';
import {receiveBody} from '../receiving/receive-body.js';
import type {FramedResponse, ReceivedResponse} from '../receiving/received-response.js';
import {traceOf} from '../receiving/trace-of.js';
import {createByteCount} from '../relaying/create-byte-count.js';
import {relayStream} from '../relaying/relay-stream.js';
import {breakReasonOf} from '../response-ends/break-reason-of.js';
import type {AttemptEnd} from './attempt-end.js';
import type {HostContext} from './host-context.js';
import {logInvalidResponse} from './log-invalid-response.js';
import type {RequestInputs} from './request-inputs.js';

/** The id of the event after which the caller itself takes the stream up; `undefined` where it does not. */
const eventOfCaller = ({req, admitted: {route}}: RequestInputs, {headerNames}: HostContext): string | undefined => {
	const id = req.headers[headerNames.lastEventId];
	return route.isResumable && typeof id === 'string' ? id : undefined;
};

const relayToCaller = async (received: FramedResponse, host: HostContext): Promise<AttemptEnd> => {
	const {response, request, writer, originTold, lastEventId, onEvents, run, tracked, size} = received;
	const relayed = await relayStream(response, request.res, {
		lastId: lastEventId,
		resumedAfter: lastEventId ?? eventOfCaller(request, host),
		// Should this host end right after the first event, its caller takes the stream up at a host that has to find where it began.
		ready: originTold,
		signal: tracked.signal,
		onChunk(bytes) {
			size.add(bytes);
			tracked.noteHeard();
		},
		beforeWrite(events) {
			onEvents();
			for (let event = 0; event < events; event++) {
				run.noteEvent();
			}

			writer.beginStream(response);
		},
		onInvalid(fault) {
			logInvalidResponse(fault, received, host);
		},
		hold: createHold(host.heldBytes),
	});
	if (relayed.lacksRoom) {
		return {...breakOff(received, 'no_room', host, relayed), excess: 'no_room'};
	}

	if (relayed.type !== 'whole') {
		return breakOff(received, breakReasonOf(response), host, relayed);
	}

	// A take-up may bring no event, after the last one; but then something other than its connection has to say so.
	const end = await checkResponseEnd(received, relayed.count === 0, host);
	if (!isWholeEnd(end)) {
		return breakOff(received, end, host, relayed);
	}

	// A stream without events never calls `beforeWrite`; the caller gets its head here.
	writer.beginStream(response);
	return {
		type: 'streamed', status: response.statusCode!, relayed, trace: traceOf(received, end, relayed),
	};
};

/**
Receives the response to one attempt, up to its end. The events of a successful response on a route for streams are relayed to the caller as they
come; any other response is held until it is whole, or relayed where it is too large for that (`receiveBody`).
*/
export const receiveResponse = async (inputs: ReceivedResponse, host: HostContext): Promise<AttemptEnd> => {
	const {response, request} = inputs;
	const received = {...inputs, framing: framingOf(response, request.req.method!), size: createByteCount()};
	const isSuccess = isSuccessStatus(response.statusCode!);
	// A success without the endpoint's stamp comes from another process, to which the endpoint's address may have been given.
	if (isSuccess && response.headers[host.headerNames.stamp] === undefined) {
		response.destroy();
		return {type: 'lost', reason: 'broken'};
	}

	if (isSuccess && request.admitted.route.kind === 'stream') {
		return relayToCaller(received, host);
	}

	return receiveBody(received, host);
};
