import {z} from 'zod';
import {wireSuspicionSchema} from './wire-suspicion-schema.js';

/** The reply to a `suspicions` message: what the peer knows of the requests in the message, and its blocked requests if asked for. */
export const suspicionsReplySchema = z.object({suspicions: z.array(wireSuspicionSchema)});
