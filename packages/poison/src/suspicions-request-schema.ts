import {z} from 'zod';
import {wireSuspicionSchema} from './wire-suspicion-schema.js';

/** The most requests whose suspicions one message may hold. */
const maxSuspicions = 100;

/** The message in which a host sends a peer its suspicions of requests. The peer replies with what it knows itself. */
export const suspicionsRequestSchema = z.object({
	type: z.literal('suspicions'),
	suspicions: z.array(wireSuspicionSchema).max(maxSuspicions),
	/** Whether the reply is to hold the requests that the peer has blocked as well. */
	wantsBlocked: z.boolean(),
});
