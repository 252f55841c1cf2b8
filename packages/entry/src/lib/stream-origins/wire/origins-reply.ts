import type {z} from 'zod';
import type {originsReplySchema} from './origins-reply-schema.js';

/** The reply to an `origins` message. */
export type OriginsReply = Readonly<z.infer<typeof originsReplySchema>>;
