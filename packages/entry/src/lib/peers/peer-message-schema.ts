import {suspicionsRequestSchema} from '@deckwheel/poison';
import {z} from 'zod';
import {limitsMessageSchema} from '../request-limits/limits-message-schema.js';
import {permitRequestSchema} from '../request-limits/permit-request-schema.js';

/** What hosts ask of each other. Amounts are tokens. */
export const peerMessageSchema = z.discriminatedUnion('type', [
	/** `demanded`: tokens ever demanded by requests of the asker; `received`: all that it knows to have got from the lender; `rank`: the most urgent request that waits for it. */
	z.object({
		type: z.literal('lend'),
		budget: z.string(),
		tokens: z.number().positive(),
		demanded: z.number().nonnegative(),
		received: z.number().nonnegative(),
		rank: z.object({priority: z.number(), tokens: z.number().nonnegative()}).optional(),
	}),
	/** Whether a topic of the store changed after a revision; the answer may be held. */
	z.object({
		type: z.literal('news'), topic: z.string().max(100), after: z.number().nonnegative(), holdMs: z.number().nonnegative().max(5000),
	}),
	/** `to`: the life of the host that it is meant for; `total`: all that the sender ever gave to that life on this budget. */
	z.object({
		type: z.literal('hand_back'), to: z.string(), budget: z.string(), total: z.number().nonnegative(),
	}),
	suspicionsRequestSchema,
	permitRequestSchema,
	limitsMessageSchema,
]);
