import {z} from 'zod';
import {limitReportSchema} from './limit-report-schema.js';

/** The most limits that one message may hold. */
const maxLimits = 500;

/**
Reports limits to a peer, which replies with all the limits that it knows if `wantsAll` is set. `sender`: the `ip:port` at which peers
reach the sender.
*/
export const limitsMessageSchema = z.object({
	type: z.literal('limits'), sender: z.string().max(100), limits: z.array(limitReportSchema).max(maxLimits), wantsAll: z.boolean(),
});
