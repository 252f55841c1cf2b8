import type {z} from 'zod';
import type {limitsReplySchema} from './limits-reply-schema.js';

/** What a peer knows of limits of endpoints. */
export type LimitsReply = Readonly<z.infer<typeof limitsReplySchema>>;
