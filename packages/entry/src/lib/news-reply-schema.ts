import {z} from 'zod';

/** A peer's word on a topic, as it arrives. */
export const newsReplySchema = z.object({at: z.number().nonnegative(), changedAt: z.number().nonnegative(), ageMs: z.number().nonnegative()});
