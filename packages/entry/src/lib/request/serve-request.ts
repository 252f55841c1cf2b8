import type {IncomingMessage, ServerResponse} from 'node:http';
import {admitRequest} from '../admission/admit-request.js';
import {answerRefusal} from '../admission/answer-refusal.js';
import type {HostRefusal} from '../admission/host-refusal.js';
import {readBody} from '../admission/read-body.js';
import {hostRefusals} from '../admission/host-refusals.js';
import type {HostServices} from './host-services.js';
import type {RequestResult} from './request-result.js';
import {runRequest} from './run-request.js';

/** The part of the goal that a request may wait for rights. After it, a refusal still leaves the caller time to come back. */
const rightsWaitShare = 0.2;

const refusalOf = ({outcome, reason}: RequestResult): HostRefusal => {
	if (outcome === 'not_run') {
		if (reason === 'deadline') {
			return hostRefusals.deadlinePassed;
		}

		return reason === 'not_run' ? hostRefusals.overloaded : hostRefusals.noEndpoint;
	}

	return outcome === 'timed_out' ? hostRefusals.timedOut : hostRefusals.lost;
};

/** Serves one request of a caller, from its head to its final answer. */
export const serveRequest = async (req: IncomingMessage, res: ServerResponse, context: HostServices): Promise<void> => {
	const {names, rights, log, now} = context;
	const startedAt = now();
	const id = String(req.headers[names.requestId] ?? '');
	const refuse = (refusal: HostRefusal, fields: Readonly<Record<string, string | number | undefined>> = {}): void => {
		log('request_refused', {
			id, code: refusal.code, status: refusal.status, ran: refusal.ran, version: context.config()?.version, ms: Math.round(now() - startedAt), ...fields,
		});
		answerRefusal(res, refusal, id === '' ? [] : [names.requestId, id]);
	};

	const admitted = admitRequest(context.config(), req.url!, req.headers, names);
	if (!admitted.ok) {
		req.resume();
		refuse(admitted.error, {host: req.headers.host, path: req.url});
		return;
	}

	if (context.isShedding()) {
		req.resume();
		refuse(hostRefusals.hostOverloaded);
		return;
	}

	const admission = admitted.value;
	const {route, organisation, prompt} = admission;
	const deadline = startedAt + admission.timeLeftMs;
	const receiveBody = async (): Promise<Uint8Array | undefined> => {
		const received = await readBody(req, context.config()!.limits.maxBodyBytes);
		if (received === 'caller_left') {
			return undefined;
		}

		if (received === 'too_large') {
			res.shouldKeepAlive = false;
			refuse(hostRefusals.tooLarge);
			return undefined;
		}

		return received;
	};

	const body = await receiveBody();
	if (!body) {
		return;
	}

	for (const {service} of route.services) {
		context.noteRequest(service);
	}

	const budget = organisation?.limit === undefined || prompt === undefined ? undefined : organisation.name;
	const worstCase = prompt ? prompt.inputTokens + prompt.maxOutputTokens : 0;
	let reserved = 0;
	const reserve = async (tokens: number): Promise<HostRefusal | undefined> => {
		if (budget === undefined) {
			return undefined;
		}

		const outcome = await rights.reserve(budget, tokens, Math.min(route.goalMs * rightsWaitShare, deadline - now()));
		if (outcome === 'reserved') {
			reserved += tokens;
			return undefined;
		}

		return outcome === 'exhausted' ? hostRefusals.budgetExhausted : {...hostRefusals.rightsUnavailable, retryAfterSeconds: rights.retryAfterSeconds()};
	};

	const shortage = await reserve(worstCase);
	if (shortage) {
		refuse(shortage, {route: route.name, budget, tokens: worstCase});
		return;
	}

	const run = await runRequest({
		id, req, res, body, admission, deadline, reserveRun: async () => await reserve(prompt?.maxOutputTokens ?? 0) === undefined,
	}, context);
	const isWhole = run.outcome === 'answered' && run.lostRuns === 0 && run.status === 200;
	const used = isWhole ? Math.min(reserved, prompt ? prompt.inputTokens + run.outputTokens : 0) : reserved;
	if (budget !== undefined) {
		rights.settle(budget, reserved, run.arrivals === 0 || run.outcome === 'not_run' ? 0 : used);
	}

	const fields = {
		route: route.name, budget, endpoint: run.endpoint, arrivals: run.arrivals, lost_runs: run.lostRuns, reserved, used, reason: run.reason,
	};
	if (run.outcome === 'answered') {
		log('request_answered', {
			id, status: run.status, ms: Math.round(now() - startedAt), ...fields,
		});
		return;
	}

	if (run.outcome === 'caller_left') {
		log('request_left', {id, ms: Math.round(now() - startedAt), ...fields});
		return;
	}

	refuse(refusalOf(run), fields);
};
