import {z} from 'zod';
import {loadNumberListSchema} from './load-number-list-schema.js';

/** Tells the load leader of a hall what is open at the sender, and asks it for totals. Endpoints are given as `hash32` of their ids. */
export const loadMessageSchema = z.object({
	type: z.literal('load'),
	/** Which totals the sender wants: `fleet` as a host of the leader's hall, `hall` as the load leader of another one. */
	wants: z.enum(['fleet', 'hall']),
	/** The `digest` of the sender's `EndpointIndex`. */
	digest: z.number(),
	/** All that is open at the sender (`writeRows`); nothing from a leader of another hall. */
	counts: loadNumberListSchema,
	/** Samples of the speed of endpoints that the receiver has not confirmed yet (`writeSamples`). */
	samples: loadNumberListSchema,
	/** Endpoints that were found ended: hash and age in ms of each. */
	ended: loadNumberListSchema,
	wantsPaces: z.boolean(),
});
