import {z} from 'zod';
import {coordinatorSchema} from './coordinator-schema.js';
import {limitReportSchema} from './limit-report-schema.js';

/** A coordinator's reply: whether the request may be sent, when it is worth asking again, and what it knows of the limit. */
export const permitReplySchema = z.object({
	isGranted: z.boolean(),
	retryInMs: z.number().nonnegative(),
	limit: limitReportSchema,
	/** The coordinators by the list of hosts of who replies, best first. */
	coordinators: z.array(coordinatorSchema).max(8),
});
