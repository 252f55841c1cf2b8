import type {z} from 'zod';
import type {suspicionsReplySchema} from './suspicions-reply-schema.js';

/** What a peer knows of suspected requests beyond what it was told. */
export type SuspicionsReply = Readonly<z.infer<typeof suspicionsReplySchema>>;
