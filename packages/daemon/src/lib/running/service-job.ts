import {limitDownload} from '@deckwheel/core';
import {framingOf} from '@deckwheel/host-kit';
import type {StoredResponse} from '@deckwheel/ledger';
import got, {CancelError, type Method} from 'got';
import type {Caller} from '../gateway/caller.js';
import {fingerprint} from '../gateway/fingerprint.js';
import type {RequestOptions} from '../gateway/reading/request-options.js';
import type {ServiceCall} from '../gateway/service-call.js';
import {traceHeaders} from '../process/trace-headers.js';
import {isNeverSent} from './is-never-sent.js';
import {maxAnswerBytes} from './max-answer-bytes.js';
import {sendChecked} from './send-checked.js';
import type {Job} from './job.js';
import type {RunEnd} from './run-end.js';
import {streamId} from './streams/stream-id.js';

/** A service that takes longer to accept a connection did not get the request, in ms. */
const connectMs = 1000;
type Sources = {
	readonly service: string;
	readonly call: ServiceCall;
	readonly method: string;
	/** Path and query behind the service's name. */
	readonly path: string;
	readonly contentType: string;
	readonly body: string;
	readonly caller: Caller;
	readonly options: RequestOptions;
	readonly isWanted: Job['isWanted'];
	readonly deliver: (answer: StoredResponse) => void;
};

/** Builds the job for a call to a plain service. */
export const serviceJob = (sources: Sources): Job => {
	const {service, call, method, path, contentType, body, caller, options, isWanted, deliver} = sources;
	const {key, priority} = options;
	let isDelivered = false;

	const deliverOnce = (answer: StoredResponse): void => {
		isDelivered = true;
		deliver(answer);
	};

	const callService = async (url: string, id: string): Promise<RunEnd> => {
		try {
			const response = await limitDownload(got(`${url}${path}`, {
				method: method as Method,
				headers: {...(contentType && {'content-type': contentType}), 'x-request-key': id, ...traceHeaders()},
				body: body === '' ? undefined : body,
				request: sendChecked,
				retry: {limit: 0},
				throwHttpErrors: false,
				followRedirect: false,
				timeout: {connect: connectMs, request: Math.max(1, options.deadline - Date.now())},
			}), maxAnswerBytes);
			if (framingOf(response, method) === 'connection') {
				return {
					outcome: 'lost', reason: 'unstated_end', served: 0, outputTokens: 0,
				};
			}

			const answer = {status: response.statusCode, contentType: response.headers['content-type'] ?? 'text/plain', body: response.body};
			deliverOnce(answer);
			return {
				outcome: 'finished', served: call.cost, outputTokens: 0, answer,
			};
		} catch (error) {
			if (error instanceof CancelError) {
				return {
					outcome: 'lost', reason: 'answer_too_long', served: 0, outputTokens: 0,
				};
			}

			return {outcome: isNeverSent(error) ? 'not_run' : 'lost', served: 0, outputTokens: 0};
		}
	};

	return {
		budget: caller.budget,
		key,
		isKeyPresented: options.isKeyPresented,
		isWanted,
		hasEvents: false,
		fingerprint: fingerprint('service', service, method, path, body),
		sharedParts: [],
		isRepeatable: call.isRepeatable && !options.isNotRepeatable,
		worstCase: call.cost,
		deadline: options.deadline,
		monotonicDeadline: options.monotonicDeadline,
		place: {
			target: service,
			organisation: caller.organisation,
			weight: caller.weight,
			priority,
			deadline: options.monotonicDeadline,
			prefixBlocks: [],
			promptTokens: 0,
		},
		send: async (run, url) => callService(url, streamId(caller.budget, key.text, run.number)),
		// A plain service has no streams to take up: the first runner's settlement is waited for.
		follow: async () => 'cannot_follow',
		deliver: deliverOnce,
		hasOutput: () => isDelivered,
	};
};
