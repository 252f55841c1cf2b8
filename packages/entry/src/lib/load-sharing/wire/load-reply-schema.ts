import {z} from 'zod';
import {loadNumberListSchema} from './load-number-list-schema.js';

/** The reply of a load leader. Where its `digest` is that of the request, the lists follow the order of the index and hold no hashes. */
export const loadReplySchema = z.object({
	digest: z.number(),
	/** Whether the replying host leads its hall. */
	leads: z.boolean(),
	/** The number of hosts of the leader's hall whose counts are in the totals. */
	hosts: z.number().int().nonnegative(),
	/** How old the oldest report is whose counts are in the totals, in ms. */
	ageMs: z.number().nonnegative(),
	/** The totals (`writeTotals`). */
	counts: loadNumberListSchema,
	/** The paces of endpoints in percent (`writePaces`); empty where they were not asked for. */
	paces: loadNumberListSchema,
	/** Endpoints that were found ended: hash and age in ms of each. */
	ended: loadNumberListSchema,
});
