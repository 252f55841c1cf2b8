import type {z} from 'zod';
import type {loadReplySchema} from './load-reply-schema.js';

/** The reply of a load leader. */
export type LoadReply = Readonly<z.infer<typeof loadReplySchema>>;
