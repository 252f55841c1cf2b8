import {z} from 'zod';

/** The reply to a `hand_back` message: whether the rights were taken, which only the incarnation of the host that the message is addressed to does. */
export const handBackReplySchema = z.object({isTaken: z.boolean()});
