import {setTimeout as delay} from 'node:timers/promises';
import type {Bundle} from '@deckwheel/bundle';
import {prefixBlocks, httpStatus} from '@deckwheel/core';
import type {StoredResponse, Run} from '@deckwheel/ledger';
import type {Caller} from '../gateway/caller.js';
import type {ChatRequest} from '../gateway/reading/chat-request.js';
import {fingerprint} from '../gateway/fingerprint.js';
import {promptBound} from '../gateway/reading/prompt-bound.js';
import type {RequestOptions} from '../gateway/reading/request-options.js';
import {traceHeaders} from '../process/trace-headers.js';
import type {EngineEnd} from './streams/engine-end.js';
import type {Job} from './job.js';
import type {LiveStream} from './streams/live-stream.js';
import {readEngineStream} from './streams/read-engine-stream.js';
import type {ToldEnd} from './streams/told-end.js';
import type {RunEnd} from './run-end.js';
import {streamId} from './streams/stream-id.js';

/** Tokens of an answer where the caller and the model set no bound. */
const defaultMaxTokens = 1024;

/** How often a stream that broke off is taken up again. */
const resumeTries = 4;

/** Before each of these, in ms. */
const resumePauseMs = 100;
const priorityNumbers = {quick: 0, normal: 1, slow: 2} as const;
const streamContentType = 'text/event-stream';

type Sources = {
	readonly body: ChatRequest;
	readonly model: Bundle['models'][number];
	readonly caller: Caller;
	readonly options: RequestOptions;
	readonly isWanted: Job['isWanted'];
	/** Where the answer's events go. */
	readonly stream: LiveStream;
};

/** Builds the job for a chat completion. */
export const chatJob = ({body, model, caller, options, isWanted, stream}: Sources): Job => {
	const {key, priority} = options;
	const prompt = body.messages.map(({content}) => content).join('\n');
	const maxTokens = Math.min(body.max_tokens ?? defaultMaxTokens, model.maxOutputTokens);
	const {stream: wantsStream, ...content} = body;
	let seen = 0;

	const onEvent = (event: string): void => {
		seen++;
		stream.push(event);
	};

	const answer = (): StoredResponse => ({status: httpStatus.ok, contentType: streamContentType, body: stream.events.join('')});

	const toRunEnd = (end: EngineEnd): RunEnd => {
		switch (end.type) {
			case 'finished': {
				return {
					outcome: 'finished', served: end.served, outputTokens: end.outputTokens, answer: answer(),
				};
			}

			case 'failed': {
				return {outcome: 'failed', served: end.served, outputTokens: 0};
			}

			case 'not_run': {
				return {outcome: 'not_run', served: 0, outputTokens: 0};
			}

			default: {
				return {outcome: 'lost', served: 0, outputTokens: 0};
			}
		}
	};

	// The request may have reached the engine, so its silence proves nothing.
	const afterSending = (end: EngineEnd): EngineEnd => end.type === 'not_run' ? {type: 'lost'} : end;

	const streamUrl = (run: Run, url: string): string => `${url}/v1/streams/${streamId(caller.budget, key.text, run.number)}`;

	// The engine goes on when a connection breaks; its stream is taken up after the last event that came.
	const resume = async (run: Run, url: string, told?: ToldEnd): Promise<EngineEnd> => {
		let end: EngineEnd = {type: 'lost', told};
		let latest = told;
		for (let tries = 0; tries < resumeTries && (end.type === 'lost' || end.type === 'not_run'); tries++) {
			await delay(resumePauseMs * tries);
			end = await readEngineStream({
				method: 'GET', url: `${streamUrl(run, url)}?after=${seen}`, headers: traceHeaders(), onEvent, told: latest,
			});
			latest = end.type === 'lost' ? end.told : latest;
		}

		return end;
	};

	return {
		budget: caller.budget,
		key,
		isKeyPresented: options.isKeyPresented,
		isWanted,
		hasEvents: options.hasEvents,
		fingerprint: fingerprint('chat', JSON.stringify(content)),
		sharedParts: body.messages.slice(0, -1).map(message => fingerprint('message', message.role, message.content)),
		isRepeatable: !options.isNotRepeatable,
		worstCase: promptBound(body) + maxTokens,
		deadline: options.deadline,
		monotonicDeadline: options.monotonicDeadline,
		place: {
			target: model.id,
			organisation: caller.organisation,
			weight: caller.weight,
			priority,
			deadline: options.monotonicDeadline,
			session: options.session && `${caller.organisation}\n${options.session}`,
			prefixBlocks: prefixBlocks(prompt),
			promptTokens: Math.ceil(prompt.length / 4),
		},
		async send(run, url) {
			const end = await readEngineStream({
				method: 'POST',
				url: `${url}/v1/chat/completions`,
				headers: {
					'content-type': 'application/json',
					'x-stream-id': streamId(caller.budget, key.text, run.number),
					'x-send-by': String(run.sendBy),
					'x-priority': String(priorityNumbers[priority]),
					...traceHeaders(),
				},
				body: JSON.stringify({...content, max_tokens: maxTokens, stream: true}),
				onEvent,
			});
			return end.type === 'lost' ? toRunEnd(afterSending(await resume(run, url, end.told))) : toRunEnd(end);
		},
		async follow(run, url) {
			const end = await resume(run, url);
			const isUnknownThere = end.type === 'no_such_stream' || end.type === 'not_run';
			return isUnknownThere ? 'no_such_run' : toRunEnd(end);
		},
		deliver(kept) {
			for (const event of kept.body.split(/(?<=\n\n)/)) {
				stream.push(event);
			}
		},
		hasOutput: () => stream.events.length > 0,
	};
};
