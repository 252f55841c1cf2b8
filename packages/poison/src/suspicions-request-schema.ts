import {z} from 'zod';
import {toldSuspicionSchema} from './told-suspicion-schema.js';

/** Requests that one message may tell of. */
const maxSuspicions = 100;

/** What a host tells a peer of suspected requests, as it is sent; the peer answers with what it knows beyond that. */
export const suspicionsRequestSchema = z.object({
	type: z.literal('suspicions'),
	suspicions: z.array(toldSuspicionSchema).max(maxSuspicions),
	/** Whether to answer with all requests that are blocked. */
	wantsBlocked: z.boolean(),
});
