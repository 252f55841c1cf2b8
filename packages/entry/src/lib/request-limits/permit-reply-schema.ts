import {z} from 'zod';
import {coordinatorSchema} from './coordinator-schema.js';
import {limitReportSchema} from './limit-report-schema.js';

/** A coordinator's reply: whether the request may be sent, in how many ms it is worth asking again, and the limit that the coordinator knows. */
export const permitReplySchema = z.object({
	isGranted: z.boolean(),
	retryInMs: z.number().nonnegative(),
	limit: limitReportSchema,
	/** The endpoint's coordinators according to the peer list of the replying host, best first. */
	coordinators: z.array(coordinatorSchema).max(8),
});
