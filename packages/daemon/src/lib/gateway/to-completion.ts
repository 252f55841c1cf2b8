import {z} from 'zod';

const chunkSchema = z.object({
	id: z.string(),
	choices: z.array(z.object({delta: z.object({content: z.string().optional()}), finish_reason: z.string().nullable().optional()})),
	usage: z.unknown().optional(),
});

const readChunks = (events: string): ReadonlyArray<z.infer<typeof chunkSchema>> =>
	events
		.split('\n')
		.filter(line => line.startsWith('data: ') && line !== 'data: [DONE]')
		.map(line => chunkSchema.parse(JSON.parse(line.slice('data: '.length))));

/** Folds a whole stream of chunks into one chat completion, for callers that did not ask for a stream. */
export const toCompletion = (events: string, model: string): unknown => {
	const chunks = readChunks(events);
	const content = chunks.map(({choices}) => choices[0]?.delta.content ?? '').join('');
	const last = chunks.at(-1);
	return {
		id: last?.id,
		object: 'chat.completion',
		model,
		choices: [{index: 0, message: {role: 'assistant', content}, finish_reason: last?.choices[0]?.finish_reason ?? 'stop'}],
		usage: last?.usage,
	};
};
