import type {z} from 'zod';
import type {reachReplySchema} from './reach-reply-schema.js';

/** A peer's reply to the question which endpoints it reaches. */
export type ReachReply = Readonly<z.infer<typeof reachReplySchema>>;
