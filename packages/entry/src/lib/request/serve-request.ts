import type {IncomingMessage, ServerResponse} from 'node:http';
import {traceFields} from '../response-ends/trace-fields.js';
import {admitRequest} from '../admission/admit-request.js';
import type {ConfigProof} from '../admission/config-proof.js';
import {hostRefusals} from '../admission/host-refusals.js';
import {isAbandonedByCaller} from '../admission/is-abandoned-by-caller.js';
import {readBody} from '../admission/read-body.js';
import {secondsUntil} from '../admission/seconds-until.js';
import {refuseByConfig} from '../admission/refuse-by-config.js';
import {isRetryableRoute} from '../admission/is-retryable-route.js';
import type {Hold} from '../held-bytes/create-hold.js';
import {chargeOfResult} from './charge-of-result.js';
import {costOfRequest} from './cost-of-request.js';
import {createFingerprint} from './create-fingerprint.js';
import {createRequestLog} from './create-request-log.js';
import {createReservation} from './create-reservation.js';
import {originFields} from './origin-fields.js';
import {findStreamPlan} from './find-stream-plan.js';
import type {HostContext} from './host-context.js';
import type {RequestInputs} from './request-inputs.js';
import type {RequestLog} from './request-log.js';
import {refusalOfPlan} from './refusal-of-plan.js';
import {refusalOfResult} from './refusal-of-result.js';
import {sharedPartsOf} from './shared-parts-of.js';
import {runRequest} from './run-request.js';

/** An admitted request whose whole body was read, and for which no rights are reserved yet. */
type ReceivedRequest = Omit<RequestInputs, 'reserveRun' | 'plan'>;

/** An admitted request whose body was not read. */
type AdmittedRequest = Omit<ReceivedRequest, 'body' | 'subjects'>;

/** For how long the configuration was not confirmed, in ms; `undefined` where it never was. */
const ageOf = ({ageMs}: ConfigProof): number | undefined => Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;

/** Serves a request whose whole body was read: reserves its worst case, runs it, charges what it cost, and logs its end. */
const serveReceivedRequest = async (received: ReceivedRequest, requestLog: RequestLog, host: HostContext): Promise<void> => {
	const {admitted} = received;
	const {budget, worstCase, retryCost} = costOfRequest(admitted);
	if (!host.mayForward(admitted.deadline)) {
		requestLog.refused(hostRefusals.hostStopping, {route: admitted.route.name, budget});
		return;
	}

	const blockedUntil = host.poison.blockedUntil(received.subjects);
	if (blockedUntil !== undefined) {
		const retryAfterSeconds = secondsUntil(blockedUntil, host.now());
		requestLog.refused({...hostRefusals.requestBlocked, retryAfterSeconds}, {route: admitted.route.name, budget, request: received.subjects.fingerprint()});
		return;
	}

	const plan = await findStreamPlan(received.id, admitted, host);
	const planRefusal = refusalOfPlan(plan, host);
	if (planRefusal) {
		requestLog.refused(refusalOfResult(planRefusal, host.now()), {
			route: admitted.route.name, budget, resumes: admitted.resumes, ...originFields({origin: plan.found, begunBy: undefined}),
		});
		return;
	}

	const reservation = createReservation(budget, admitted, host);
	const shortage = await reservation.reserve(worstCase, true);
	if (shortage) {
		// A stopping host draws no more rights from the store, and another host may have the rights that this request needs.
		const isShortBecauseStopping = host.isStopping() && shortage.code === hostRefusals.rightsUnavailable.code;
		requestLog.refused(isShortBecauseStopping ? hostRefusals.hostStopping : shortage, {
			route: admitted.route.name, budget, tokens: worstCase, resumes: admitted.resumes,
		});
		return;
	}

	const result = await runRequest({...received, plan, reserveRun: async () => await reservation.reserve(retryCost, false) === undefined}, host);
	const reserved = reservation.reserved();
	const used = chargeOfResult(result, reserved, admitted.prompt);
	reservation.settle(used);
	const fields = {
		route: admitted.route.name,
		budget,
		endpoint: result.endpoint?.id ?? '',
		endpoint_version: result.endpoint?.version,
		begun_by: result.begunBy?.id,
		resumes: admitted.resumes,
		...originFields(result),
		arrivals: result.arrivals,
		misdirected: result.misdirected,
		lost_runs: result.lostRuns,
		reserved,
		used,
		reason: result.reason,
		lacking: result.lacking,
		endpoint_wait_ms: Math.round(result.endpointWaitMs) || undefined,
		excluded: result.excluded && [...result.excluded].map(([reason, count]) => `${reason}:${count}`).join(','),
		...traceFields(result.trace),
	};
	if (result.outcome === 'answered') {
		requestLog.answered(result, fields);
	} else if (result.outcome === 'caller_left') {
		requestLog.left(result, fields);
	} else {
		requestLog.refused(refusalOfResult(result, host.now()), {...fields, ...result.isCut && host.cutFields(received.receivedAt)});
	}
};

/** Reads the body of an admitted request, and serves it. */
const receiveRequest = async (request: AdmittedRequest, hold: Hold, requestLog: RequestLog, host: HostContext): Promise<void> => {
	const {req, res, admitted} = request;
	const proof = host.configProof();
	const body = await readBody(req, host.config()!.limits.maxBodyBytes, hold);
	if (body === 'caller_left') {
		return;
	}

	if (body === 'too_large') {
		res.shouldKeepAlive = false;
		requestLog.refused(refuseByConfig(hostRefusals.tooLarge, proof), {config_age_ms: ageOf(proof)});
		return;
	}

	if (body === 'no_room') {
		requestLog.refused(hostRefusals.hostOverloaded, {
			cause: 'bodies', route: admitted.route.name, bytes: hold.bytes(), max_bytes: host.bodyRoom.maxLargeBytes,
		});
		return;
	}

	for (const {service} of admitted.route.services) {
		host.retries.noteRequest(service);
	}

	const {organisation, prompt} = admitted;
	const fingerprint = createFingerprint({
		method: req.method!, hostHeader: req.headers.host ?? '', path: req.url!, organisation: organisation?.name, body,
	});
	await serveReceivedRequest({...request, body, subjects: {fingerprint, parts: sharedPartsOf(prompt)}}, requestLog, host);
};

/**
Serves one request of a caller, from its head to its final response. In order: admission, the load of this host, the body, rights, and
the runs at endpoints. The first of these that refuses the request ends it at once.

A request whose caller leaves before the whole body was read gets neither a response nor a line in the log.
*/
export const serveRequest = async (req: IncomingMessage, res: ServerResponse, host: HostContext): Promise<void> => {
	const waitedMs = host.waitedMs(res);
	const receivedAt = host.now() - waitedMs;
	const id = String(req.headers[host.headerNames.requestId] ?? '');
	const requestLog = createRequestLog({
		id, receivedAt, waitedMs, res,
	}, host);
	const proof = host.configProof();
	const configAgeMs = ageOf(proof);
	const admitted = admitRequest(host.config(), proof, {
		url: req.url!, headers: req.headers, httpVersion: req.httpVersion, receivedAt,
	}, host.headerNames);
	if (!admitted.ok) {
		req.resume();
		requestLog.refused(admitted.error, {host: req.headers.host, path: req.url, config_age_ms: configAgeMs});
		return;
	}

	if (host.isConfigOutdated()) {
		req.resume();
		requestLog.refused(hostRefusals.configOutdated, {route: admitted.value.route.name, config_age_ms: configAgeMs});
		return;
	}

	const {route, deadline} = admitted.value;
	const isAbandoned = isAbandonedByCaller({
		waitedMs, callerMs: deadline - receivedAt, isRetryable: isRetryableRoute(route), unreadTimeout: host.unreadTimeout,
	});
	const rank = host.rankOf(route.priority);
	if (isAbandoned || host.isShedding(rank)) {
		req.resume();
		requestLog.refused(hostRefusals.hostOverloaded, {cause: isAbandoned ? 'queue' : host.overloadCause(), rank, waited_ms: Math.round(waitedMs)});
		return;
	}

	if (rank > 0) {
		host.noteLessUrgent(res);
	}

	const hold = host.bodyRoom.hold();
	try {
		await receiveRequest({
			id, req, res, admitted: admitted.value, receivedAt,
		}, hold, requestLog, host);
	} finally {
		hold.release();
	}
};
