import type {z} from 'zod';
import type {limitsReplySchema} from './limits-reply-schema.js';

/** The reply to a `limits` message: the limits that the peer knows if the sender asked for them, else none. */
export type LimitsReply = Readonly<z.infer<typeof limitsReplySchema>>;
