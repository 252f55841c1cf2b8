import type {EngineStream} from './engine-stream.js';

/** The last events of a stream: why it ended, and what it used. */
export const formatEngineEnd = ({id, state, promptTokens, tokens}: EngineStream): string => {
	const usage = {prompt_tokens: promptTokens, completion_tokens: tokens.length, total_tokens: promptTokens + tokens.length};
	const choice = {index: 0, delta: {}, finish_reason: state === 'finished' ? 'stop' : 'cancelled'};
	return `id: ${tokens.length + 1}\ndata: ${JSON.stringify({
		id, object: 'chat.completion.chunk', choices: [choice], usage,
	})}\n\ndata: [DONE]\n\n`;
};
