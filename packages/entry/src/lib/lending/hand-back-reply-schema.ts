import {z} from 'zod';

/** The reply to rights that were handed back: whether the life of the host that they are meant for took them. */
export const handBackReplySchema = z.object({isTaken: z.boolean()});
