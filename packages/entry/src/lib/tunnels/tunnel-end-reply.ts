import type {z} from 'zod';
import type {tunnelEndReplySchema} from './tunnel-end-reply-schema.js';

/** A peer's reply to the question whether an endpoint ended a tunnel. */
export type TunnelEndReply = Readonly<z.infer<typeof tunnelEndReplySchema>>;
