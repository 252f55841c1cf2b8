import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {TrackedRun} from '../load-sharing/tracked-run.js';
import type {CallerWait} from '../receiving/caller-wait.js';
import type {ResponseWriter} from '../relaying/response-writer.js';
import type {AttemptResult} from '../sending/attempt-result.js';
import {forwardedHeaders} from '../sending/forwarded-headers.js';
import type {EndpointNotice} from '../sending/endpoint-notice.js';
import {readNotice} from '../sending/read-notice.js';
import {readRequestLimit} from '../sending/read-request-limit.js';
import {sendAttempt} from '../sending/send-attempt.js';
import {trackAttempt} from '../sending/track-attempt.js';
import type {TrackedAttempt} from '../sending/tracked-attempt.js';
import {urgencyOf} from '../sending/urgency-of.js';
import type {AttemptEnd} from './attempt-end.js';
import {hasServed} from './has-served.js';
import {logInvalidResponse} from './log-invalid-response.js';
import {receiveResponse} from './receive-response.js';
import type {HostContext} from './host-context.js';
import type {RequestInputs} from './request-inputs.js';

type Options = {
	readonly request: RequestInputs;
	readonly endpoint: ListedEndpoint;
	/** The tokens of the prompt that the endpoint probably has to prefill. */
	readonly uncachedTokens: number;
	/** Resolves once another host keeps where the stream begins, or none can or needs to be told. */
	readonly originTold: Promise<void>;
	readonly writer: ResponseWriter;
	/** Whether the caller still waits for the request and its deadline has not passed. */
	readonly isWanted: () => boolean;
	/** Called when the request is handed to a connection to the endpoint. */
	readonly onSent: () => void;
	/** Called each time before events of a stream are relayed to the caller. */
	readonly onEvents: () => void;
	/** Called when the first part of a body that is too large to be held is relayed to the caller. */
	readonly onBodyBegun: () => void;
	/** Is told when the response waits for its caller while its body is relayed. */
	readonly callerWait: CallerWait;
	/** The id of the last event that the caller got, after which the endpoint is to resume a stream; `undefined` where it got none. */
	readonly lastEventId: string | undefined;
	/** Whether the request may run at another endpoint if this endpoint's hall becomes unreachable. */
	readonly mayMove: boolean;
	/** Aborts the request, not only this attempt. */
	readonly signal: AbortSignal;
};

type RunningAttempt = Options & {
	readonly tracked: TrackedAttempt;
	/** The request as it counts in the load of the endpoint. */
	readonly run: TrackedRun;
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

const sendToEndpoint = async ({request, endpoint, lastEventId, tracked, isWanted, onSent}: RunningAttempt, sentAt: number, host: HostContext): Promise<AttemptResult> => {
	const {req, admitted, body} = request;
	return sendAttempt({
		endpoint,
		id: request.id,
		method: req.method!,
		path: req.url!,
		body,
		signal: tracked.signal,
		isWanted,
		isCallerSeen: () => host.isCallerSeen(request.res),
		onConnected(tunnel) {
			tracked.noteConnected(tunnel);
			onSent();
		},
		onHead(head) {
			const limit = readRequestLimit(head.headers, host.headerNames);
			if (limit) {
				host.limits.noteResponse(endpoint, limit.perSecond, sentAt);
			}

			host.brittleEndpoints.noteResponse(endpoint.id, head);
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
			urgency: admitted.prompt && host.isUrgencySent() ? urgencyOf(admitted) : undefined,
		}),
	}, host.pool, host.headerNames);
};

const toAttemptEnd = async (result: AttemptResult, options: RunningAttempt, sentAt: number, host: HostContext): Promise<AttemptEnd> => {
	if (result.type === 'unsent') {
		host.countUnsent(result.reason);
		return {type: 'unsent'};
	}

	if (result.type === 'lost') {
		if (result.isInvalid) {
			logInvalidResponse(result.reason, options, host);
		}

		return {type: 'lost', reason: 'lost'};
	}

	options.tracked.noteHeard();
	return result.type === 'answered'
		? receiveResponse({
			...options, response: result.response, tunnel: options.tracked.tunnel(), sentAt,
		}, host)
		: result;
};

/**
Makes one attempt at one endpoint, up to the end of the endpoint's response.

A successful response on a route for streams is relayed to the caller of the request as it arrives, and so is one that is too large to be held. Any other
response is read whole and returned, and nothing of it is sent to the caller here.
*/
export const runAttempt = async (options: Options, host: HostContext): Promise<AttemptEnd> => {
	const sentAt = host.now();
	const {endpoint, mayMove, uncachedTokens} = options;
	const tracked = trackAttempt(host, endpoint, {sentAt, mayMove, signal: options.signal});
	const run = host.loads.noteSent(endpoint.id, uncachedTokens);
	const running = {...options, tracked, run};
	let end: AttemptEnd | undefined;
	try {
		const result = await sendToEndpoint(running, sentAt, host);
		end = await toAttemptEnd(result, running, sentAt, host);
		return end;
	} finally {
		run.end(end && hasServed(end) ? 'answered' : undefined);
		tracked.end();
	}
};
