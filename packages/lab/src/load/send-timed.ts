import {createParser} from 'eventsource-parser';
import got from 'got';
import type {Sample} from './sample.js';

type TimedRequest = {
	readonly url: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly priority: Sample['priority'];
};

/** Sends one streamed request and times its tokens. */
export const sendTimed = async ({url, headers, prompt, maxTokens, priority}: TimedRequest): Promise<Sample> => {
	const startedAt = performance.now();
	const times: number[] = [];
	let isWhole = false;
	let status = 0;
	const parser = createParser({
		onEvent({data}) {
			isWhole ||= data === '[DONE]';
			if (data.includes('"content"')) {
				times.push(performance.now());
			}
		},
	});
	const stream = got.stream.post(`${url}/v1/chat/completions`, {
		headers: {...headers, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'assistant', messages: [{role: 'user', content: prompt}], max_tokens: maxTokens, stream: true,
		}),
		retry: {limit: 0},
		throwHttpErrors: false,
	});
	stream.once('response', (response: {statusCode: number}) => {
		status = response.statusCode;
	});
	stream.setEncoding('utf8');
	try {
		for await (const text of stream) {
			parser.feed(text as string);
		}
	} catch {
		// A broken connection shows as an answer that is not whole.
	}

	const [first] = times;
	return {
		priority,
		isWhole,
		status,
		firstMs: first === undefined ? undefined : first - startedAt,
		betweenMs: times.length > 1 ? (times.at(-1)! - first!) / (times.length - 1) : undefined,
		totalMs: performance.now() - startedAt,
		tokens: times.length,
		tokenTimes: times,
	};
};
