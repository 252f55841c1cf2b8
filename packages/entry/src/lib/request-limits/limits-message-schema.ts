import {z} from 'zod';
import {limitReportSchema} from './limit-report-schema.js';

/** Limits that one message may tell of. */
const maxLimits = 500;

/** Tells a peer of limits; it replies with those that it knows, if the sender wants them. `sender`: the `ip:port` at which peers reach it. */
export const limitsMessageSchema = z.object({
	type: z.literal('limits'), sender: z.string().max(100), limits: z.array(limitReportSchema).max(maxLimits), wantsAll: z.boolean(),
});
