import {z} from 'zod';

/** A peer's reply on a topic, as it arrives. */
export const changeReplySchema = z.object({at: z.number().nonnegative(), changedAt: z.number().nonnegative(), ageMs: z.number().nonnegative()});
