import {z} from 'zod';

const messageSchema = z.looseObject({
	role: z.string().max(50),
	content: z.string(),
});

/** The schema of a chat completion request. Fields that are not named here are passed on to the engine. */
export const chatRequestSchema = z.looseObject({
	model: z.string().max(200),
	messages: z.array(messageSchema).min(1).max(10_000),
	max_tokens: z.number().int().positive().max(1e9).optional(),
	stream: z.boolean().optional(),
	n: z.literal(1).optional(),
});
