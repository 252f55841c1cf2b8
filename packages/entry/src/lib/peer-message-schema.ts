import {z} from 'zod';

/** What hosts ask of each other. */
export const peerMessageSchema = z.object({
	type: z.literal('lend'),
	budget: z.string(),
	/** Tokens wanted. */
	tokens: z.number().positive(),
});
