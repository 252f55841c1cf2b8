import type {IncomingMessage} from 'node:http';
import {httpStatus, isSuccessStatus} from '@deckwheel/core';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ResponseWriter} from '../relaying/response-writer.js';
import {readResponseBody} from '../relaying/read-response-body.js';
import {relayStream} from '../relaying/relay-stream.js';
import type {AttemptResult} from '../sending/attempt-result.js';
import {forwardedHeaders} from '../sending/forwarded-headers.js';
import type {EndpointNotice} from '../sending/endpoint-notice.js';
import {readNotice} from '../sending/read-notice.js';
import {readRequestLimit} from '../sending/read-request-limit.js';
import {sendAttempt} from '../sending/send-attempt.js';
import {trackAttempt} from '../sending/track-attempt.js';
import type {AttemptEnd} from './attempt-end.js';
import type {HostContext} from './host-context.js';
import type {RequestInputs} from './request-inputs.js';

type Options = {
	readonly request: RequestInputs;
	readonly endpoint: ListedEndpoint;
	readonly writer: ResponseWriter;
	/** Where a stream is to be taken up again. */
	readonly lastEventId: string | undefined;
	/** Whether the request may run at another endpoint if this one's hall is lost. */
	readonly mayMove: boolean;
	/** Ends the whole request. */
	readonly signal: AbortSignal;
};

const hasBody = ({req, body}: RequestInputs): boolean =>
	body.length > 0 || req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined;

const noteNotice = ({id}: ListedEndpoint, {isLeaving, backoffUntil, requestLimit}: EndpointNotice, {chooser, log, now}: HostContext): void => {
	if (isLeaving) {
		chooser.note({type: 'leaving', endpoint: id});
	}

	if (backoffUntil !== undefined) {
		chooser.note({type: 'rest_asked', endpoint: id, until: backoffUntil});
	}

	log('endpoint_notice', {
		endpoint: id, leaving: isLeaving, rest_ms: backoffUntil === undefined ? undefined : Math.round(backoffUntil - now()), limit_per_s: requestLimit,
	});
};

const send = async ({request, endpoint, lastEventId}: Options, sentAt: number, signal: AbortSignal, host: HostContext): Promise<AttemptResult> => {
	const {req, admitted, body} = request;
	return sendAttempt({
		endpoint,
		id: request.id,
		method: req.method!,
		path: req.url!,
		body,
		signal,
		connectBy: sentAt + host.connectMs,
		onConnect(tookMs) {
			host.noteConnect(endpoint, tookMs);
		},
		onHead(head) {
			const limit = readRequestLimit(head.headers, host.headerNames);
			if (limit) {
				host.limits.noteAnswer(endpoint, limit.perSecond, sentAt);
			}

			const notice = readNotice(head, host.headerNames, host.now());
			if (notice) {
				noteNotice(endpoint, notice, host);
			}
		},
		headers: forwardedHeaders({
			raw: req.rawHeaders,
			headerNames: host.headerNames,
			endpoint,
			organisation: admitted.organisation?.name,
			timeLeftMs: admitted.deadline - sentAt,
			bodyBytes: body.length,
			lastEventId,
			hasBody: hasBody(request),
		}),
	}, host.pool, host.headerNames);
};

const relay = async (response: IncomingMessage, {request, endpoint, writer, lastEventId}: Options, host: HostContext): Promise<AttemptEnd> => {
	const relayed = await relayStream(response, request.res, {
		lastId: lastEventId,
		onChunk() {
			host.halls.noteHeard(endpoint.hall);
		},
		beforeWrite() {
			writer.beginStream(response);
		},
	});
	if (relayed.type !== 'whole') {
		return {type: 'lost', reason: 'broken', relayed};
	}

	// A stream without a single event has a head all the same.
	writer.beginStream(response);
	return {type: 'streamed', status: response.statusCode!, relayed};
};

const receive = async (response: IncomingMessage, options: Options, host: HostContext): Promise<AttemptEnd> => {
	const status = response.statusCode!;
	const isSuccess = isSuccessStatus(status);
	// A success without the endpoint's stamp is somebody else's answer: its address may have been given to another process.
	if (isSuccess && response.headers[host.headerNames.stamp] === undefined) {
		response.destroy();
		return {type: 'lost', reason: 'broken'};
	}

	if (isSuccess && options.request.admitted.route.kind === 'stream') {
		return relay(response, options, host);
	}

	const body = await readResponseBody(response);
	if (body === undefined) {
		return {type: 'lost', reason: 'broken'};
	}

	return {type: status >= httpStatus.internalServerError ? 'server_error' : 'whole', response, body};
};

const toEnd = async (result: AttemptResult, options: Options, host: HostContext): Promise<AttemptEnd> => {
	if (result.type === 'unsent') {
		return {type: 'unsent'};
	}

	if (result.type === 'lost') {
		return {type: 'lost', reason: 'lost'};
	}

	host.halls.noteHeard(options.endpoint.hall);
	return result.type === 'answered' ? receive(result.response, options, host) : result;
};

/**
Makes one try at one endpoint, up to the end of its answer.

A whole answer is read and left for the caller of this function to pass on; a stream is passed on as it comes.
*/
export const runAttempt = async (options: Options, host: HostContext): Promise<AttemptEnd> => {
	const sentAt = host.now();
	const {endpoint, mayMove} = options;
	const tracked = trackAttempt(host.halls, endpoint, {sentAt, mayMove, signal: options.signal});
	const result = await send(options, sentAt, tracked.signal, host);
	const end = await toEnd(result, options, host);
	tracked.end();
	return end;
};
