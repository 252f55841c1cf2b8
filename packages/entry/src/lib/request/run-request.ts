import type {IncomingMessage} from 'node:http';
import type {AttemptResult} from '../sending/attempt-result.js';
import {copyHeaders} from '../sending/copy-headers.js';
import type {ChosenEndpoint} from '../choice/chosen-endpoint.js';
import {forwardedHeaders} from '../sending/forwarded-headers.js';
import {pickService} from '../choice/pick-service.js';
import {readAnswer} from '../relaying/read-answer.js';
import {relayStream} from '../relaying/relay-stream.js';
import {sendAttempt} from '../sending/send-attempt.js';
import {trackAttempt} from '../sending/track-attempt.js';
import type {RequestInputs} from './request-inputs.js';
import type {RequestResult} from './request-result.js';
import type {HostServices} from './host-services.js';

/** Tries at endpoints that could not be reached at all. They cost the endpoints nothing. */
const maxUnsent = 4;
const serverErrorStatus = 500;
const noHeaders: ReadonlySet<string> = new Set();

/** Whether one more endpoint is to be tried, after how the last try ended. */
type Next = 'again' | 'end';

/** Runs one admitted request at endpoints until it is answered or given up. */
export const runRequest = async ({id, req, res, body, admission, deadline, reserveRun}: RequestInputs, context: HostServices): Promise<RequestResult> => {
	const {names, chooser, halls, pool, now} = context;
	const {route, organisation, prompt} = admission;
	const service = pickService(route, Math.random()) ?? '';
	const isRepeatable = route.kind === 'repeatable' || (route.kind === 'stream' && route.isResumable);
	const tokensPerEvent = context.config()?.services.get(service)?.tokensPerEvent ?? 0;
	const tried: string[] = [];
	const avoidedHalls: string[] = [];
	const abort = new AbortController();
	let isTimedOut = false;
	let hasCallerLeft = false;
	let arrivals = 0;
	let unsent = 0;
	let lostRuns = 0;
	let events = 0;
	let lastEventId: string | undefined;
	let endpointId = '';

	const cancelTimer = context.schedule(Math.max(0, deadline - now()), () => {
		isTimedOut = true;
		abort.abort();
	});
	const onClose = (): void => {
		hasCallerLeft = !res.writableFinished;
		abort.abort();
	};

	res.once('close', onClose);

	const end = (outcome: RequestResult['outcome'], reason: string, status?: number): RequestResult => {
		cancelTimer();
		res.removeListener('close', onClose);
		return {
			outcome, arrivals, lostRuns, status, reason, endpoint: endpointId, outputTokens: events * tokensPerEvent,
		};
	};

	const endEarly = (reason: string): RequestResult => {
		if (hasCallerLeft) {
			return end('caller_left', reason);
		}

		if (res.headersSent) {
			return end('broken', reason);
		}

		return lostRuns > 0 ? end(isTimedOut ? 'timed_out' : 'unknown', reason) : end('not_run', isTimedOut ? 'deadline' : reason);
	};

	const mayTryAgain = async (hasRun: boolean): Promise<Next> => {
		const isAllowed = !abort.signal.aborted && arrivals < route.maxAttempts && (!hasRun || isRepeatable) && context.mayRepeat(service);
		return isAllowed && (!hasRun || await reserveRun()) ? 'again' : 'end';
	};

	// A host that is late itself cannot tell whose fault a missing answer is.
	const noteNoAnswer = (choice: ChosenEndpoint): void => {
		chooser.note({type: abort.signal.aborted || context.isOverloaded() ? 'abandoned' : 'failed', endpoint: choice.endpoint.id});
	};

	const afterLoss = async (choice: ChosenEndpoint): Promise<Next> => {
		lostRuns++;
		noteNoAnswer(choice);
		return mayTryAgain(true);
	};

	const writeHead = (response: IncomingMessage, dropped: ReadonlySet<string>, extra: readonly string[] = []): void => {
		res.sendDate = false;
		const closing = context.isClosing() ? ['Connection', 'close'] : [];
		res.writeHead(response.statusCode!, response.statusMessage, [...copyHeaders(response.rawHeaders, dropped), ...extra, ...closing]);
	};

	const noteSuccess = (choice: ChosenEndpoint, startedAt: number): void => {
		chooser.note({
			type: 'succeeded', endpoint: choice.endpoint.id, durationMs: now() - startedAt, outputTokens: events * tokensPerEvent,
		});
	};

	const relay = async (response: IncomingMessage, choice: ChosenEndpoint, startedAt: number): Promise<RequestResult | Next> => {
		const relayed = await relayStream(response, res, {
			lastId: lastEventId,
			onChunk() {
				halls.heard(choice.endpoint.hall);
			},
			beforeWrite() {
				if (!res.headersSent) {
					writeHead(response, new Set(['content-length']));
				}
			},
		});
		events += relayed.count;
		({lastId: lastEventId} = relayed);
		if (relayed.type === 'whole') {
			if (!res.headersSent) {
				writeHead(response, new Set(['content-length']));
			}

			noteSuccess(choice, startedAt);
			res.end();
			return end('answered', choice.reason, response.statusCode);
		}

		return afterLoss(choice);
	};

	const answerWhole = async (response: IncomingMessage, choice: ChosenEndpoint, startedAt: number): Promise<RequestResult | Next> => {
		const answer = await readAnswer(response);
		if (answer === undefined) {
			return afterLoss(choice);
		}

		const status = response.statusCode!;
		if (status >= serverErrorStatus) {
			chooser.note({type: 'failed', endpoint: choice.endpoint.id});
			if (isRepeatable && await mayTryAgain(true) === 'again') {
				lostRuns++;
				return 'again';
			}
		} else {
			noteSuccess(choice, startedAt);
		}

		if (res.headersSent) {
			return end('broken', 'endpoint_error', status);
		}

		const isHead = req.method === 'HEAD';
		writeHead(response, isHead ? noHeaders : new Set(['content-length']), isHead ? [] : ['Content-Length', String(answer.length)]);
		res.end(answer);
		return end('answered', choice.reason, status);
	};

	const afterAttempt = async (result: AttemptResult, choice: ChosenEndpoint, startedAt: number): Promise<RequestResult | Next> => {
		if (result.type === 'unsent') {
			noteNoAnswer(choice);
			if (!abort.signal.aborted) {
				halls.connectFailed(choice.endpoint.hall);
				avoidedHalls.push(choice.endpoint.hall);
			}

			unsent++;
			return unsent < maxUnsent ? 'again' : 'end';
		}

		arrivals++;
		if (result.type !== 'lost') {
			halls.heard(choice.endpoint.hall);
		}

		if (result.type === 'not_run') {
			chooser.note({type: 'abandoned', endpoint: choice.endpoint.id});
			return mayTryAgain(false);
		}

		if (result.type === 'lost') {
			return afterLoss(choice);
		}

		const {response} = result;
		const status = response.statusCode!;
		const isSuccess = status >= 200 && status < 300;
		if (isSuccess && response.headers[names.stamp] === undefined) {
			response.destroy();
			return afterLoss(choice);
		}

		return route.kind === 'stream' && isSuccess
			? relay(response, choice, startedAt)
			: answerWhole(response, choice, startedAt);
	};

	for (;;) {
		if (abort.signal.aborted) {
			return endEarly(hasCallerLeft ? 'caller_left' : 'deadline');
		}

		const choice = chooser.choose(service, prompt?.parts ?? [], tried, avoidedHalls);
		if (!choice) {
			return endEarly('no_endpoint');
		}

		endpointId = choice.endpoint.id;
		tried.push(endpointId);
		chooser.note({type: 'started', endpoint: endpointId});
		const startedAt = now();
		const mayMove = isRepeatable && arrivals + 1 < route.maxAttempts;
		const {signal, end: endAttempt} = trackAttempt(halls, choice.endpoint, {sentAt: startedAt, mayMove, signal: abort.signal});
		const result = await sendAttempt({
			endpoint: choice.endpoint,
			id,
			method: req.method!,
			path: req.url!,
			body,
			signal,
			connectTimeoutMs: context.connectMs,
			onConnect(tookMs) {
				context.noteConnect(choice.endpoint, tookMs);
			},
			headers: forwardedHeaders({
				raw: req.rawHeaders,
				names,
				endpoint: choice.endpoint,
				organisation: organisation?.name,
				timeLeftMs: deadline - startedAt,
				bodyBytes: body.length,
				lastEventId,
				hasBody: body.length > 0 || req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined,
			}),
		}, pool, names);
		const next = await afterAttempt(result, choice, startedAt);
		endAttempt();
		if (typeof next !== 'string') {
			return next;
		}

		if (next === 'end') {
			return endEarly(result.type === 'answered' ? 'broken' : result.type);
		}
	}
};
