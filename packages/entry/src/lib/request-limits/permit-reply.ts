import type {z} from 'zod';
import type {permitReplySchema} from './permit-reply-schema.js';

/** A coordinator's reply to a request for a permit. */
export type PermitReply = Readonly<z.infer<typeof permitReplySchema>>;
