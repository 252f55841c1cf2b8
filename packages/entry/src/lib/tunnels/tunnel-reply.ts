import type {z} from 'zod';
import type {tunnelReplySchema} from './tunnel-reply-schema.js';

/** A peer's reply to a request for a tunnel. */
export type TunnelReply = Readonly<z.infer<typeof tunnelReplySchema>>;
