import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {pickService} from '../choice/pick-service.js';
import {createResponseWriter} from '../relaying/create-response-writer.js';
import {isRetryable} from '../admission/is-retryable.js';
import {regionsOf} from '../choice/regions-of.js';
import {acquirePermit} from '../request-limits/acquire-permit.js';
import type {AttemptEnd} from './attempt-end.js';
import {createRequestEnd} from './create-request-end.js';
import {decideNextStep} from './decide-next-step.js';
import {decideOutcome} from './decide-outcome.js';
import type {HostContext} from './host-context.js';
import {judgeEndpoint} from './judge-endpoint.js';
import type {NextStep} from './next-step.js';
import {noProgress} from './no-progress.js';
import type {RequestInputs} from './request-inputs.js';
import type {RequestProgress} from './request-progress.js';
import type {RequestResult} from './request-result.js';
import {runAttempt} from './run-attempt.js';
import {stepProgress} from './step-progress.js';

/** Whether a request was given up since no endpoint would take it. */
const isWantOfEndpoints = (reason: string): boolean => reason === 'no_endpoint' || reason === 'not_run';

type EndedAttempt = {
	readonly end: AttemptEnd;
	readonly endpoint: ListedEndpoint;
	/** Monotonic ms. */
	readonly startedAt: number;
	readonly isOver: boolean;
	/** Tokens of the stream so far. */
	readonly outputTokens: number;
};

/** Why a request is given up after a try, for the log and the refusal. */
const reasonOf = (end: AttemptEnd, next: NextStep, mayForward: boolean): string => {
	if (next.type === 'send_elsewhere' && !mayForward) {
		return 'host_stopping';
	}

	return end.type === 'lost' ? end.reason : end.type;
};

/** Whether the endpoint lived through the run. */
const isAnswer = ({type}: AttemptEnd): boolean => type === 'whole' || type === 'streamed' || type === 'server_error';

/** Tells the chooser and the watch of halls how a try ended. */
const noteEnd = ({end, endpoint: {id, hall}, startedAt, isOver, outputTokens}: EndedAttempt, host: HostContext): void => {
	const judgement = judgeEndpoint({end: end.type, isOver, isOverloaded: host.isOverloaded()});
	host.chooser.note(judgement === 'succeeded'
		? {
			type: 'succeeded', endpoint: id, durationMs: host.now() - startedAt, outputTokens,
		}
		: {type: judgement, endpoint: id});
	if (end.type === 'unsent' && !isOver) {
		host.halls.noteConnectFailure(hall);
	}
};

/** Tells the watch of requests that end endpoints how a try ended. */
const notePoison = ({id, fingerprint}: RequestInputs, {end, endpoint, startedAt, isOver}: Omit<EndedAttempt, 'outputTokens'>, {poison}: HostContext): void => {
	if (isAnswer(end)) {
		poison.noteAnsweredRun(fingerprint);
	} else if (end.type === 'lost' && !isOver) {
		poison.noteLostRun({
			id, fingerprint, endpoint, sentAt: startedAt,
		});
	}
};

/**
Runs one admitted request at endpoints until it is answered or given up.

This is the loop around the decisions: which endpoint (`chooser.choose`), what a try's end means (`stepProgress`,
`judgeEndpoint`), what comes next (`decideNextStep`), and what is known when it is given up (`decideOutcome`).
*/
export const runRequest = async (request: RequestInputs, host: HostContext): Promise<RequestResult> => {
	const {req, res, admitted: {route, prompt, deadline}} = request;
	const {chooser, shutdownSignal, schedule, now} = host;
	const service = pickService(route, Math.random()) ?? '';
	const regions = regionsOf(request.admitted);
	const isRepeatable = isRetryable(route);
	const parts = prompt?.parts ?? [];
	const tokensPerEvent = host.config()?.services.get(service)?.tokensPerEvent ?? 0;
	const writer = createResponseWriter(res, req.method === 'HEAD', () => host.closesAfter(res));
	const requestEnd = createRequestEnd({
		res, deadline, shutdownSignal, schedule, now,
	});
	let progress: RequestProgress = noProgress;

	const finish = (outcome: RequestResult['outcome'], reason: string, {status, retryAt}: Pick<RequestResult, 'status' | 'retryAt'> = {}): RequestResult => {
		requestEnd.close();
		const {arrivals, lostRuns, tried, events} = progress;
		return {
			outcome, arrivals, lostRuns, status, retryAt, reason, endpoint: tried.at(-1) ?? '', outputTokens: events * tokensPerEvent,
		};
	};

	const mayForward = (): boolean => host.mayForward(deadline);

	const giveUp = (reason: string, retryAt?: number): RequestResult => {
		const endedBy = requestEnd.endedBy();
		const outcome = decideOutcome({progress, endedBy, hasAnswerBegun: writer.hasBegun()});
		const closure = outcome === 'not_run' && isWantOfEndpoints(reason) ? chooser.exclusionOfAll({service, regions}) : undefined;
		if (closure) {
			return finish(outcome, `endpoints_${closure.reason}`, {retryAt: closure.until});
		}

		return finish(outcome, outcome === 'not_run' && endedBy === 'deadline' ? 'deadline' : reason, {retryAt});
	};

	const passOn = ({response, body}: AttemptEnd & {readonly type: 'whole' | 'server_error'}, reason: string): RequestResult => {
		const status = response.statusCode!;
		// The beginning of a stream cannot be followed by another answer.
		if (writer.hasBegun()) {
			return finish('broken', 'endpoint_error', {status});
		}

		writer.writeWhole(response, body);
		return finish('answered', reason, {status});
	};

	// Takes what another try needs. The step that is left is taken.
	const settleStep = async (next: NextStep): Promise<NextStep['type']> => {
		if (next.type !== 'send_elsewhere' || next.needs === 'nothing') {
			return next.type;
		}

		const isAcquired = mayForward() && host.retries.mayRetry(service) && (next.needs === 'retry' || await request.reserveRun());
		return isAcquired && mayForward() ? next.type : next.otherwise;
	};

	const tryEndpoint = async (endpoint: ListedEndpoint): Promise<AttemptEnd> => {
		progress = stepProgress(progress, {type: 'sent', endpoint});
		chooser.noteStarted(endpoint.id, parts);
		const startedAt = now();
		const end = await runAttempt({
			request, endpoint, writer, lastEventId: progress.lastEventId, mayMove: isRepeatable && progress.arrivals + 1 < route.maxAttempts, signal: requestEnd.signal,
		}, host);
		const isOver = requestEnd.isOver();
		progress = stepProgress(progress, {
			type: 'ended', endpoint, end, isOver,
		});
		noteEnd({
			end, endpoint, startedAt, isOver, outputTokens: progress.events * tokensPerEvent,
		}, host);
		notePoison(request, {
			end, endpoint, startedAt, isOver,
		}, host);

		return end;
	};

	const findEnd = (): string | undefined => {
		if (requestEnd.isOver()) {
			return requestEnd.endedBy() ?? 'deadline';
		}

		return mayForward() ? undefined : 'host_stopping';
	};

	for (;;) {
		const ended = findEnd();
		if (ended !== undefined) {
			return giveUp(ended);
		}

		const blockedUntil = host.poison.blockedUntil(request.fingerprint);
		if (blockedUntil !== undefined) {
			return giveUp('request_blocked', blockedUntil);
		}

		const choice = chooser.choose({
			service, parts, tried: progress.tried, avoidedHalls: progress.avoidedHalls, regions,
		});
		if (!choice) {
			return giveUp('no_endpoint');
		}

		if (host.limits.isLimited(choice.endpoint.id)) {
			if (!await acquirePermit(choice.endpoint, host)) {
				continue;
			}

			const endedMeanwhile = findEnd();
			if (endedMeanwhile !== undefined) {
				return giveUp(endedMeanwhile);
			}
		}

		const end = await tryEndpoint(choice.endpoint);
		const next = decideNextStep({
			end: end.type, progress, maxAttempts: route.maxAttempts, isRepeatable, isOver: requestEnd.isOver(),
		});
		const step = await settleStep(next);
		if (step === 'give_up') {
			return giveUp(reasonOf(end, next, mayForward()));
		}

		if (end.type === 'streamed') {
			writer.endStream();
			return finish('answered', choice.reason, {status: end.status});
		}

		if (step === 'pass_on' && (end.type === 'whole' || end.type === 'server_error')) {
			return passOn(end, choice.reason);
		}

		if (end.type === 'server_error') {
			progress = stepProgress(progress, {type: 'error_dropped'});
		}
	}
};
