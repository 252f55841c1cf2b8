import type {ChosenEndpoint} from '../choice/chosen-endpoint.js';
import {createCallerWait} from '../receiving/create-caller-wait.js';
import {createResponseTimer} from '../relaying/create-response-timer.js';
import {createResponseWriter} from '../relaying/create-response-writer.js';
import {isRetryableRoute} from '../admission/is-retryable-route.js';
import type {ResponseTrace} from '../response-ends/response-trace.js';
import {regionsOf} from '../choice/regions-of.js';
import {createVersionWait} from '../endpoint-waits/create-version-wait.js';
import {acquirePermit} from '../request-limits/acquire-permit.js';
import type {AttemptEnd} from './attempt-end.js';
import {createRequestEnd} from './create-request-end.js';
import {createStreamRecord} from './create-stream-record.js';
import {decideNextStep} from './decide-next-step.js';
import {decideOutcome} from './decide-outcome.js';
import type {HostContext} from './host-context.js';
import type {NextStep} from './next-step.js';
import {initialProgress} from './initial-progress.js';
import type {RequestInputs} from './request-inputs.js';
import type {RequestProgress} from './request-progress.js';
import type {RequestResult} from './request-result.js';
import {reportAttemptEnd} from './report-attempt-end.js';
import {reportToPoisonDetector} from './report-to-poison-detector.js';
import {runAttempt} from './run-attempt.js';
import {stepProgress} from './step-progress.js';

/** Whether a request was given up because no endpoint would take it. */
const isLackOfEndpoints = (reason: string): boolean => reason === 'no_endpoint' || reason === 'not_run';

type RelayedAttempt = AttemptEnd & {readonly type: 'streamed' | 'relayed'};

/** Whether the caller has all of the response but its end. */
const isRelayed = (end: AttemptEnd): end is RelayedAttempt => end.type === 'streamed' || end.type === 'relayed';

/** Why a request is given up after an attempt, for the log and the refusal. */
const giveUpReasonOf = (end: AttemptEnd, next: NextStep, mayForward: boolean): string => {
	if (next.type === 'send_elsewhere' && !mayForward) {
		return 'host_stopping';
	}

	return end.type === 'lost' ? end.reason : end.type;
};

/**
Runs one admitted request at endpoints until the caller has a whole response or the request is given up.

This function is the loop around the decisions: which endpoint gets the request (`chooser.choose`), what the end of an attempt means
(`stepProgress`, `judgeEndpoint`), what the host does next (`decideNextStep`), and what is known of a request that is given up
(`decideOutcome`).
*/
export const runRequest = async (request: RequestInputs, host: HostContext): Promise<RequestResult> => {
	const {req, res, plan, admitted: {route, prompt, deadline}} = request;
	const {chooser, schedule, streamOrigins, now} = host;
	const regions = regionsOf(request.admitted);
	const isRetryable = isRetryableRoute(route);
	const parts = prompt?.parts ?? [];
	const writer = createResponseWriter(res, req.method === 'HEAD', () => host.closesAfter(res));
	const timer = createResponseTimer(now);
	const callerWait = createCallerWait(now);
	const requestEnd = createRequestEnd({
		res, deadline, hasWaitedForCaller: callerWait.takeWaited, shutdownSignal: host.assignShutdownGroup(route.kind), schedule, now,
	});
	const stream = createStreamRecord(plan, deadline, streamOrigins);
	const {service} = stream;
	const tokensPerEvent = host.config()?.services.get(service)?.tokensPerEvent ?? 0;
	let progress: RequestProgress = initialProgress;
	let trace: ResponseTrace | undefined;
	let lacking: RequestResult['lacking'];

	const finish = (outcome: RequestResult['outcome'], reason: string, {status, retryAt, excluded}: Partial<Pick<RequestResult, 'status' | 'retryAt' | 'excluded'>> = {}): RequestResult => {
		requestEnd.close();
		const {arrivals, misdirectedAttempts: misdirected, lostRuns, latest, begunBy, relayedEvents} = progress;
		return {
			outcome,
			arrivals,
			misdirected,
			lostRuns,
			status,
			retryAt,
			reason,
			excluded,
			endpointWaitMs: versionWait.waitedMs(),
			lacking,
			endpoint: latest,
			begunBy,
			origin: plan.found,
			outputTokens: relayedEvents * tokensPerEvent,
			trace,
			timing: timer.timing(),
			leftAt: requestEnd.leftAt(),
			isCut: requestEnd.isCut(),
		};
	};

	const mayForward = (): boolean => host.mayForward(deadline);

	const giveUp = (reason: string, retryAt?: number): RequestResult => {
		const endedBy = requestEnd.endedBy();
		const outcome = decideOutcome({progress, endedBy, hasResponseBegun: writer.hasBegun()});
		const constraints = {service, version: stream.requiredVersion(progress), regions};
		const excluded = reason === 'no_endpoint' ? chooser.countExclusions(constraints) : undefined;
		const exclusion = outcome === 'not_run' && isLackOfEndpoints(reason) ? chooser.exclusionOfAll(constraints) : undefined;
		if (exclusion) {
			return finish(outcome, `endpoints_${exclusion.reason}`, {retryAt: exclusion.until, excluded});
		}

		return finish(outcome, outcome === 'not_run' && endedBy === 'deadline' ? 'deadline' : reason, {retryAt, excluded});
	};

	// A version that is not listed any more may come back for a moment longer; the caller of a take-up is told when that ends.
	const giveUpUnplaced = (): RequestResult => {
		const gone = plan.type === 'resumed' && !writer.hasBegun() ? streamOrigins.findGone(plan.origin) : undefined;
		return gone ? giveUp('stream_version_gone', gone.retryAt) : giveUp('no_endpoint');
	};

	const passOn = ({response, body}: AttemptEnd & {readonly type: 'whole' | 'server_error'}, reason: string): RequestResult => {
		const status = response.statusCode!;
		// The caller got the beginning of a stream from an earlier run, and no other response can follow that.
		if (writer.hasBegun()) {
			return finish('broken', 'endpoint_error', {status});
		}

		timer.noteBegun();
		writer.writeWhole(response, body);
		return finish('answered', reason, {status});
	};

	const finishRelayed = (end: RelayedAttempt, reason: string): RequestResult => {
		if (end.type === 'streamed') {
			stream.noteWhole();
		}

		timer.noteBegun();
		writer.endStream();
		return finish('answered', reason, {status: end.status});
	};

	// Obtains what another attempt needs, and returns the step to take: `otherwise` where something is not to be had.
	const resolveStep = async (next: NextStep): Promise<NextStep['type']> => {
		if (next.type !== 'send_elsewhere' || next.needs === 'nothing') {
			return next.type;
		}

		if (!mayForward()) {
			return next.otherwise;
		}

		lacking = host.retries.mayRetry(service) ? undefined : 'retry';
		if (lacking === undefined && next.needs === 'retry_and_rights' && !await request.reserveRun()) {
			lacking = 'rights';
		}

		return lacking === undefined && mayForward() ? next.type : next.otherwise;
	};

	const attemptAt = async ({endpoint, uncachedTokens}: ChosenEndpoint): Promise<AttemptEnd> => {
		progress = stepProgress(progress, {type: 'sent', endpoint});
		chooser.noteStarted(endpoint.id, parts);
		const startedAt = now();
		timer.noteChosen();
		const originTold = stream.noteSent(endpoint, progress.tried.length);
		const end = await runAttempt({
			request,
			endpoint,
			uncachedTokens,
			originTold,
			writer,
			isWanted: () => !requestEnd.isOver(),
			onSent: timer.noteSent,
			onEvents() {
				versionWait.noteEvents();
				timer.noteEvents();
			},
			onBodyBegun: timer.noteBegun,
			callerWait,
			lastEventId: progress.lastEventId,
			mayMove: isRetryable && progress.arrivals + 1 < route.maxAttempts,
			signal: requestEnd.signal,
		}, host);
		trace = ('trace' in end ? end.trace : undefined) ?? trace;
		const isOver = requestEnd.isOver();
		progress = stepProgress(progress, {
			type: 'ended', endpoint, end, isOver,
		});
		reportAttemptEnd({
			end, endpoint, startedAt, isOver, outputTokens: progress.relayedEvents * tokensPerEvent,
		}, host);
		await reportToPoisonDetector(request, {
			end, endpoint, startedAt, isOver,
		}, host);

		return end;
	};

	// Finds why no further attempt may be made; `undefined` where one may.
	const findEndReason = (): string | undefined => {
		if (requestEnd.isOver()) {
			return requestEnd.endedBy() ?? 'deadline';
		}

		return mayForward() ? undefined : 'host_stopping';
	};

	const versionWait = createVersionWait({request, isOver: () => findEndReason() !== undefined}, host);

	const chooseEndpoint = (): ChosenEndpoint | undefined => {
		const {tried, avoidedHalls} = progress;
		const chooseOf = (version: string | undefined): ChosenEndpoint | undefined => chooser.choose({
			service, parts, tried, avoidedHalls, version, regions,
		});
		const required = stream.requiredVersion(progress);
		const preferred = stream.preferredVersion(progress);
		return chooseOf(preferred) ?? (preferred === required ? undefined : chooseOf(required));
	};

	for (;;) {
		const endReason = findEndReason();
		if (endReason !== undefined) {
			return giveUp(endReason);
		}

		const blockedUntil = host.poison.blockedUntil(request.subjects);
		if (blockedUntil !== undefined) {
			return giveUp('request_blocked', blockedUntil);
		}

		const choice = chooseEndpoint();
		if (!choice) {
			const wanted = {
				service, version: stream.requiredVersion(progress), regions, tried: progress.tried,
			};
			if (await versionWait.wait(wanted)) {
				continue;
			}

			return giveUpUnplaced();
		}

		if (host.limits.isLimited(choice.endpoint.id)) {
			if (!await acquirePermit(choice.endpoint, host)) {
				continue;
			}

			const reasonAfterPermit = findEndReason();
			if (reasonAfterPermit !== undefined) {
				return giveUp(reasonAfterPermit);
			}
		}

		host.poison.noteSent(request.subjects);
		const end = await attemptAt(choice);
		const next = decideNextStep({
			end: end.type, progress, maxAttempts: route.maxAttempts, isRetryable, isOver: requestEnd.isOver(),
		});
		const step = await resolveStep(next);
		if (step === 'give_up') {
			return giveUp(giveUpReasonOf(end, next, mayForward()));
		}

		if (isRelayed(end)) {
			return finishRelayed(end, choice.reason);
		}

		if (step === 'pass_on' && (end.type === 'whole' || end.type === 'server_error')) {
			return passOn(end, choice.reason);
		}

		if (end.type === 'server_error') {
			progress = stepProgress(progress, {type: 'error_dropped'});
		}
	}
};
