import type {IncomingMessage} from 'node:http';
import {httpStatus} from '@deckwheel/core';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import got from 'got';
import {z} from 'zod';
import {isNeverSent} from '../is-never-sent.js';
import {sendChecked} from '../send-checked.js';
import type {EngineEnd} from './engine-end.js';
import {maxEventLength} from './max-event-length.js';
import type {ToldEnd} from './told-end.js';

/** An engine that sends nothing for this long counts as lost, in ms. */
const silenceMs = 30_000;

/** How much of the body of a refusal is read only so that its connection can be used again, in UTF-16 code units. */
const maxRefusalLength = 65_536;

/** An engine that takes longer to accept a connection did not get the request, in ms. */
const connectMs = 1000;

const usageSchema = z.object({
	usage: z.object({completion_tokens: z.number().int().nonnegative(), total_tokens: z.number().int().nonnegative()}),
	choices: z.array(z.object({finish_reason: z.string().nullable().optional()})),
});

type EngineCall = {
	readonly method: 'GET' | 'POST';
	readonly url: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Called for each event of the answer, in order, as text for the caller. The closing events of a cancelled stream are left out: they would make the answer look complete. */
	readonly onEvent: (event: string, data: string) => void;
	/** What the engine said of the end over an earlier connection. It may say it again, and that is not passed on. */
	readonly told?: ToldEnd | undefined;
	readonly signal?: AbortSignal;
};

const toText = ({id, data}: EventSourceMessage): string => `${id === undefined ? '' : `id: ${id}\n`}data: ${data}\n\n`;

const parseEnd = (data: string): ToldEnd | undefined => {
	if (!data.includes('"usage"')) {
		return undefined;
	}

	const parsed = usageSchema.safeParse(JSON.parse(data));
	if (!parsed.success) {
		return undefined;
	}

	const {usage, choices} = parsed.data;
	return choices.some(({finish_reason: reason}) => reason === 'cancelled')
		? {type: 'failed', served: usage.total_tokens}
		: {type: 'finished', served: usage.total_tokens, outputTokens: usage.completion_tokens};
};

const endOfStatus = (response: IncomingMessage): EngineEnd => {
	if (response.headers['x-not-run'] === 'true') {
		return {type: 'not_run'};
	}

	return response.statusCode === httpStatus.notFound ? {type: 'no_such_stream'} : {type: 'lost'};
};

/** Calls an engine and passes its events on until its stream ends. Never throws. */
export const readEngineStream = async ({method, url, headers, body, onEvent, told, signal}: EngineCall): Promise<EngineEnd> => {
	let end = told;
	let isDone = false;
	let isTooLong = false;
	const parser = createParser({
		maxBufferSize: maxEventLength,
		onError({type}) {
			isTooLong ||= type === 'max-buffer-size-exceeded';
		},
		onEvent(message) {
			const latest = parseEnd(message.data);
			if (latest && told) {
				return;
			}

			end = latest ?? end;
			isDone ||= message.data === '[DONE]';
			if (end?.type !== 'failed') {
				onEvent(toText(message), message.data);
			}
		},
	});
	const stream = got.stream(url, {
		method,
		headers,
		body,
		signal,
		request: sendChecked,
		retry: {limit: 0},
		throwHttpErrors: false,
		timeout: {connect: connectMs, socket: silenceMs},
	});
	try {
		let response: IncomingMessage | undefined;
		let refusalLength = 0;
		stream.once('response', (incoming: IncomingMessage) => {
			response = incoming;
		});
		stream.setEncoding('utf8');
		for await (const text of stream) {
			if (response?.statusCode === httpStatus.ok) {
				parser.feed(text as string);
			} else {
				refusalLength += (text as string).length;
			}

			// Leaving the loop closes the connection.
			if (isTooLong || refusalLength > maxRefusalLength) {
				break;
			}
		}

		if (response && response.statusCode !== httpStatus.ok) {
			return endOfStatus(response);
		}

		return isDone && end ? end : {type: 'lost', told: end};
	} catch (error) {
		return isNeverSent(error) ? {type: 'not_run'} : {type: 'lost', told: end};
	}
};
