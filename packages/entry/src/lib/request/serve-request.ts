import type {IncomingMessage, ServerResponse} from 'node:http';
import {admitRequest} from '../admission/admit-request.js';
import {hostRefusals} from '../admission/host-refusals.js';
import {isAbandonedByCaller} from '../admission/is-abandoned-by-caller.js';
import {readBody} from '../admission/read-body.js';
import {secondsUntil} from '../admission/seconds-until.js';
import {isRetryable} from '../admission/is-retryable.js';
import {chargeOfResult} from './charge-of-result.js';
import {costOfRequest} from './cost-of-request.js';
import {createFingerprint} from './create-fingerprint.js';
import {createRequestLog} from './create-request-log.js';
import {createReservation} from './create-reservation.js';
import type {HostContext} from './host-context.js';
import type {RequestInputs} from './request-inputs.js';
import type {RequestLog} from './request-log.js';
import {refusalOfResult} from './refusal-of-result.js';
import {runRequest} from './run-request.js';

/** A request whose body is here; nothing is reserved for it yet. */
type Received = Omit<RequestInputs, 'reserveRun'>;

/** Serves a request whose body is here: reserves its worst case, runs it, charges what it cost, and logs its end. */
const serveReceived = async (received: Received, requestLog: RequestLog, host: HostContext): Promise<void> => {
	const {admitted} = received;
	const {budget, worstCase, repeatCost} = costOfRequest(admitted);
	if (!host.mayForward(admitted.deadline)) {
		requestLog.refused(hostRefusals.hostStopping, {route: admitted.route.name, budget});
		return;
	}

	const blockedUntil = host.poison.blockedUntil(received.fingerprint);
	if (blockedUntil !== undefined) {
		const retryAfterSeconds = secondsUntil(blockedUntil, host.now());
		requestLog.refused({...hostRefusals.requestBlocked, retryAfterSeconds}, {route: admitted.route.name, budget, request: received.fingerprint()});
		return;
	}

	const reservation = createReservation(budget, admitted, host);
	const shortage = await reservation.reserve(worstCase, true);
	if (shortage) {
		// A stopping host draws nothing more, and another one may have what this request needs.
		const isOwnShortage = host.isStopping() && shortage.code === hostRefusals.rightsUnavailable.code;
		requestLog.refused(isOwnShortage ? hostRefusals.hostStopping : shortage, {route: admitted.route.name, budget, tokens: worstCase});
		return;
	}

	const result = await runRequest({...received, reserveRun: async () => await reservation.reserve(repeatCost, false) === undefined}, host);
	const reserved = reservation.reserved();
	const used = chargeOfResult(result, reserved, admitted.prompt);
	reservation.settle(used);
	const fields = {
		route: admitted.route.name, budget, endpoint: result.endpoint, arrivals: result.arrivals, lost_runs: result.lostRuns, reserved, used, reason: result.reason,
	};
	if (result.outcome === 'answered') {
		requestLog.answered(result.status, fields);
	} else if (result.outcome === 'caller_left') {
		requestLog.left(fields);
	} else {
		requestLog.refused(refusalOfResult(result, host.now()), fields);
	}
};

/**
Serves one request of a caller, from its head to its final answer: admission, the host's own load, the body, rights, and
the run at endpoints. Whatever refuses it does so at once.
*/
export const serveRequest = async (req: IncomingMessage, res: ServerResponse, host: HostContext): Promise<void> => {
	const waitedMs = host.waitedMs(res);
	const receivedAt = host.now() - waitedMs;
	const id = String(req.headers[host.headerNames.requestId] ?? '');
	const requestLog = createRequestLog({id, receivedAt, res}, host);
	const admitted = admitRequest(host.config(), {url: req.url!, headers: req.headers, receivedAt}, host.headerNames);
	if (!admitted.ok) {
		req.resume();
		requestLog.refused(admitted.error, {host: req.headers.host, path: req.url});
		return;
	}

	const {route, deadline} = admitted.value;
	const isUnread = isAbandonedByCaller({
		waitedMs, callerMs: deadline - receivedAt, isRetryable: isRetryable(route), unreadTimeout: host.unreadTimeout,
	});
	if (isUnread || host.isShedding()) {
		req.resume();
		requestLog.refused(hostRefusals.hostOverloaded, {waited_ms: Math.round(waitedMs)});
		return;
	}

	const body = await readBody(req, host.config()!.limits.maxBodyBytes);
	if (body === 'caller_left') {
		return;
	}

	if (body === 'too_large') {
		res.shouldKeepAlive = false;
		requestLog.refused(hostRefusals.tooLarge);
		return;
	}

	for (const {service} of route.services) {
		host.retries.noteRequest(service);
	}

	const fingerprint = createFingerprint({
		method: req.method!, host: req.headers.host ?? '', path: req.url!, caller: admitted.value.organisation?.name, body,
	});
	await serveReceived({
		id, req, res, body, admitted: admitted.value, fingerprint,
	}, requestLog, host);
};
