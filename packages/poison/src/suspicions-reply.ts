import type {z} from 'zod';
import type {suspicionsReplySchema} from './suspicions-reply-schema.js';

/** The reply to a `suspicions` message: what the peer knows of the requests in the message, and its blocked requests if asked for. */
export type SuspicionsReply = Readonly<z.infer<typeof suspicionsReplySchema>>;
