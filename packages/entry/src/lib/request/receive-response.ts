import type {IncomingMessage} from 'node:http';
import {httpStatus, isSuccessStatus} from '@deckwheel/core';
import {framingOf, type Framing} from '@deckwheel/host-kit';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {TrackedRun} from '../load-sharing/tracked-run.js';
import {createByteCount, type ByteCount} from '../relaying/create-byte-count.js';
import {readResponseBody} from '../relaying/read-response-body.js';
import {relayStream} from '../relaying/relay-stream.js';
import type {RelayEnd} from '../relaying/relay-end.js';
import type {ResponseWriter} from '../relaying/response-writer.js';
import {breakReasonOf} from '../response-ends/break-reason-of.js';
import type {EndCheck} from '../response-ends/end-check.js';
import type {ResponseTrace} from '../response-ends/response-trace.js';
import {traceFields} from '../response-ends/trace-fields.js';
import type {TrackedAttempt} from '../sending/tracked-attempt.js';
import type {TunnelTicket} from '../tunnels/tunnel-ticket.js';
import type {AttemptEnd} from './attempt-end.js';
import type {HostContext} from './host-context.js';
import {logInvalidResponse} from './log-invalid-response.js';
import type {RequestInputs} from './request-inputs.js';

type Received = {
	readonly response: IncomingMessage;
	/** The tunnel through which it comes; `undefined` where it comes over a connection of this host. */
	readonly tunnel: TunnelTicket | undefined;
	readonly request: RequestInputs;
	readonly endpoint: ListedEndpoint;
	/** When the request was sent, in monotonic ms. */
	readonly sentAt: number;
	/** Resolves once another host keeps where the stream begins, or none can or needs to be told. */
	readonly originTold: Promise<void>;
	/** The id of the last event that the caller got, after which a stream is resumed; `undefined` where it got none. */
	readonly lastEventId: string | undefined;
	readonly writer: ResponseWriter;
	/** Called each time before events of a stream are relayed to the caller. */
	readonly onEvents: () => void;
	readonly tracked: Pick<TrackedAttempt, 'signal' | 'noteHeard'>;
	readonly run: Pick<TrackedRun, 'noteEvent'>;
};

type FramedResponse = Received & {
	readonly framing: Framing;
	/** Counts the bytes of the body that came. */
	readonly size: ByteCount;
};

const traceOf = ({framing, tunnel}: FramedResponse, end: ResponseTrace['end'], relayed?: RelayEnd): ResponseTrace =>
	({
		framing, peer: tunnel?.peer, events: relayed?.count, end,
	});

/** Tells what ended a response that seems whole: only `stated` and `confirmed` mean that it is. */
const checkEnd = async ({framing, endpoint, tunnel, sentAt}: FramedResponse, isEmpty: boolean, host: HostContext): Promise<'stated' | EndCheck> => {
	if (framing === 'stated') {
		return 'stated';
	}

	return isEmpty ? 'empty' : host.checkEnd(endpoint, tunnel, sentAt);
};

const isWhole = (end: 'stated' | EndCheck): boolean => end === 'stated' || end === 'confirmed';

const breakOff = (received: FramedResponse, end: ResponseTrace['end'], host: HostContext, relayed?: RelayEnd): AttemptEnd => {
	const trace = traceOf(received, end, relayed);
	host.log('response_broken', {
		id: received.request.id, endpoint: received.endpoint.id, bytes: received.size.bytes(), ...traceFields(trace),
	});
	return {
		type: 'lost', reason: 'broken', relayed, trace,
	};
};

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
	});
	if (relayed.type !== 'whole') {
		return breakOff(received, breakReasonOf(response), host, relayed);
	}

	// A take-up may bring no event, after the last one; but then something other than its connection has to say so.
	const end = await checkEnd(received, relayed.count === 0, host);
	if (!isWhole(end)) {
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
come; any other response is read whole, and nothing of it is sent to the caller here.
*/
export const receiveResponse = async (inputs: Received, host: HostContext): Promise<AttemptEnd> => {
	const {response, request} = inputs;
	const received = {...inputs, framing: framingOf(response, request.req.method!), size: createByteCount()};
	const status = response.statusCode!;
	const isSuccess = isSuccessStatus(status);
	// A success without the endpoint's stamp comes from another process, to which the endpoint's address may have been given.
	if (isSuccess && response.headers[host.headerNames.stamp] === undefined) {
		response.destroy();
		return {type: 'lost', reason: 'broken'};
	}

	if (isSuccess && request.admitted.route.kind === 'stream') {
		return relayToCaller(received, host);
	}

	const body = await readResponseBody(response, received.size.add);
	if (body === undefined) {
		return breakOff(received, breakReasonOf(response), host);
	}

	const end = await checkEnd(received, isSuccess && body.length === 0, host);
	if (!isWhole(end)) {
		return breakOff(received, end, host);
	}

	return {
		type: status >= httpStatus.internalServerError ? 'server_error' : 'whole', response, body, trace: traceOf(received, end),
	};
};
