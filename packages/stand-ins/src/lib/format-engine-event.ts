import type {EngineStream} from './engine-stream.js';

/** The event that carries one token of a stream. */
export const formatEngineEvent = (stream: EngineStream, index: number): string => {
	const choice = {index: 0, delta: {content: stream.tokens[index]}, finish_reason: null};
	return `id: ${index + 1}\ndata: ${JSON.stringify({id: stream.id, object: 'chat.completion.chunk', choices: [choice]})}\n\n`;
};
