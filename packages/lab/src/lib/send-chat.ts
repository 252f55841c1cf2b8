import got from 'got';
import type {ChatAnswer} from './chat-answer.js';

/** A caller's chat request. */
type ChatCall = {
	readonly prompt: string;
	readonly maxTokens?: number;
	readonly apiKey: string;
	readonly headers?: Readonly<Record<string, string>>;
};

/** What a caller reads of an event. */
type Chunk = {
	readonly choices?: ReadonlyArray<{readonly delta: {readonly content?: string}}>;
	readonly usage?: {readonly total_tokens: number};
	readonly error?: ChatAnswer['error'];
};

const readStream = (body: string): Pick<ChatAnswer, 'text' | 'isWhole' | 'totalTokens' | 'error'> => {
	const lines = body.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length));
	const chunks = lines.filter(line => line !== '[DONE]').map(line => JSON.parse(line) as Chunk);
	const text = chunks.map(chunk => chunk.choices?.[0]?.delta.content ?? '').join('');
	const usage = chunks.find(chunk => chunk.usage)?.usage;
	return {
		text, isWhole: lines.includes('[DONE]') && usage !== undefined, totalTokens: usage?.total_tokens ?? 0, error: chunks.find(chunk => chunk.error)?.error,
	};
};

/** Sends a streamed chat request to an entry host, as a caller would. Never retries by itself. */
export const sendChat = async (url: string, {prompt, maxTokens = 20, apiKey, headers = {}}: ChatCall): Promise<ChatAnswer> => {
	const response = await got.post(`${url}/v1/chat/completions`, {
		json: {
			model: 'assistant', messages: [{role: 'user', content: prompt}], max_tokens: maxTokens, stream: true,
		},
		headers: {authorization: `Bearer ${apiKey}`, ...headers},
		retry: {limit: 0},
		throwHttpErrors: false,
	});
	const key = String(response.headers['x-request-key'] ?? '');
	if (response.statusCode !== 200) {
		return {
			status: response.statusCode, text: '', isWhole: false, key, totalTokens: 0, error: (JSON.parse(response.body) as Chunk).error,
		};
	}

	return {status: 200, key, ...readStream(response.body)};
};
