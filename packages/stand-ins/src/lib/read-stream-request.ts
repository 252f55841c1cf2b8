import {EventEmitter} from 'node:events';
import type {Context} from 'koa';
import {charsPerToken} from './chars-per-token.js';
import type {EngineStream} from './engine-stream.js';
import {readJson} from './read-json.js';

type ChatBody = {readonly messages?: ReadonlyArray<{readonly content: string}>; readonly max_tokens?: number};

/** Tokens of an answer where the request names no limit. */
const defaultTokens = 16;

/** Reads the request for a stream. */
export const readStreamRequest = async (ctx: Context): Promise<EngineStream> => {
	const {messages = [], max_tokens: wanted = defaultTokens} = await readJson<ChatBody>(ctx);
	const prompt = messages.map(message => message.content).join('\n');
	return {
		id: ctx.get('x-stream-id'),
		prompt,
		wanted,
		priority: Number(ctx.get('x-priority') || 1),
		promptTokens: Math.ceil(prompt.length / charsPerToken),
		tokens: [],
		events: new EventEmitter().setMaxListeners(0),
		state: 'queued',
	};
};
