import {hasCallerLeft} from '@deckwheel/host-kit';
import {httpStatus, isSuccessStatus} from '@deckwheel/core';
import {createHold, type Hold} from '../held-bytes/create-hold.js';
import {holdResponseBody, type HeldBody} from '../relaying/hold-response-body.js';
import {onceResponseClosed} from '../relaying/once-response-closed.js';
import {relayBody} from '../relaying/relay-body.js';
import type {AttemptEnd} from '../request/attempt-end.js';
import type {HostContext} from '../request/host-context.js';
import {breakReasonOf} from '../response-ends/break-reason-of.js';
import {breakOff} from './break-off.js';
import {canBeRelayed} from './can-be-relayed.js';
import {checkResponseEnd} from './check-response-end.js';
import {isWholeEnd} from './is-whole-end.js';
import type {FramedResponse} from './received-response.js';
import {maxHeldBytes, maxResponseBytes, maxUnrelayedBytes} from './response-limits.js';
import {traceOf} from './trace-of.js';

type LostAttempt = AttemptEnd & {readonly type: 'lost'};

const lengthOf = ({headers}: FramedResponse['response']): number | undefined =>
	headers['content-length'] === undefined || headers['transfer-encoding'] !== undefined ? undefined : Number(headers['content-length']);

/** Gives back what is held of a response once its caller's connection has taken it, or is closed. */
const releaseAfterResponse = ({request: {res}}: FramedResponse, hold: Hold): void => {
	if (res.closed) {
		hold.release();
	} else {
		onceResponseClosed(res, hold.release);
	}
};

/** Ends an attempt whose response is longer than any may be, or than can be held of it. */
const breakOffTooLong = (received: FramedResponse, host: HostContext): LostAttempt => {
	received.response.destroy();
	return {...breakOff(received, 'too_long', host), reason: 'too_long', excess: 'too_long'};
};

/** Whether the request had the whole time of its route: its caller may give less, and a shutdown may end it before, which says nothing of the endpoint. */
const hadWholeTime = ({request: {receivedAt, admitted: {deadline, route}}}: FramedResponse, host: HostContext): boolean =>
	deadline >= receivedAt + route.timeoutMs && !host.isStopping();

/** Whether the deadline passed while the endpoint still sent, and its caller read, a response that is longer than one may be held. */
const isWithoutEnd = (received: FramedResponse, host: HostContext): boolean => {
	const {request: {res}, size, tracked} = received;
	return tracked.signal.aborted && size.bytes() > maxHeldBytes && !res.writableNeedDrain && !hasCallerLeft(res) && hadWholeTime(received, host);
};

const breakOffBody = (received: FramedResponse, host: HostContext): LostAttempt => ({
	...breakOff(received, breakReasonOf(received.response), host),
	excess: isWithoutEnd(received, host) ? 'no_end' : undefined,
});

const relayUnheld = async (received: FramedResponse, {parts}: HeldBody & {type: 'unheld'}, hold: Hold, host: HostContext): Promise<AttemptEnd> => {
	const {response, request: {res}, writer, tracked, size, onBodyBegun, callerWait} = received;
	const status = response.statusCode!;
	writer.beginBody(response);
	onBodyBegun();
	const relayed = await relayBody(response, res, {
		parts,
		onHeldTaken: hold.release,
		maxBytes: maxResponseBytes,
		bytes: size.bytes,
		onChunk(bytes) {
			size.add(bytes);
			tracked.noteHeard();
		},
		callerWait,
		signal: tracked.signal,
	});
	if (relayed === 'too_long') {
		return {...breakOffTooLong(received, host), isPartRelayed: true};
	}

	if (relayed !== 'whole') {
		return {...breakOffBody(received, host), isPartRelayed: true};
	}

	const end = await checkResponseEnd(received, false, host);
	return isWholeEnd(end)
		? {type: 'relayed', status, trace: traceOf(received, end)}
		: {...breakOff(received, end, host), isPartRelayed: true};
};

/**
Receives the body of a response that is not a stream, up to its end.

It is held until it is whole, so that a break can be made good elsewhere, or refused, and the caller gets a length. One that is too long for that, or for
which this host has no room, is relayed from then on as fast as the caller reads.
*/
export const receiveBody = async (received: FramedResponse, host: HostContext): Promise<AttemptEnd> => {
	const {response, request, mayMove, writer, size} = received;
	const status = response.statusCode!;
	const length = lengthOf(response);
	if (length !== undefined && length > maxResponseBytes && request.req.method !== 'HEAD') {
		return breakOffTooLong(received, host);
	}

	const mayRelay = canBeRelayed({
		status, hasLength: length !== undefined, httpVersion: request.req.httpVersion, mayMove, hasBegun: writer.hasBegun(),
	});
	const hold = createHold(host.heldBytes);
	const held = await holdResponseBody(response, {hold, maxBytes: mayRelay ? maxHeldBytes : maxUnrelayedBytes, onChunk: size.add});
	releaseAfterResponse(received, hold);
	if (held.type === 'unheld' && mayRelay) {
		return relayUnheld(received, held, hold, host);
	}

	if (held.type === 'broken') {
		hold.release();
		return breakOffBody(received, host);
	}

	if (held.type === 'unheld') {
		hold.release();
		if (held.reason === 'long') {
			return breakOffTooLong(received, host);
		}

		response.destroy();
		return {...breakOff(received, held.reason, host), excess: 'no_room'};
	}

	const end = await checkResponseEnd(received, isSuccessStatus(status) && held.body.length === 0, host);
	if (!isWholeEnd(end)) {
		hold.release();
		return breakOff(received, end, host);
	}

	return {
		type: status >= httpStatus.internalServerError ? 'server_error' : 'whole', response, body: held.body, trace: traceOf(received, end),
	};
};
