import {z} from 'zod';

/** The schema of a peer's reply to the question whether a topic of the store changed; the fields are those of `ChangeReply`. */
export const changeReplySchema = z.object({
	at: z.number().nonnegative(),
	changedAt: z.number().nonnegative(),
	ageMs: z.number().nonnegative(),
	// Left out by hosts of earlier releases.
	confirmedBeforeMs: z.number().optional(),
});
