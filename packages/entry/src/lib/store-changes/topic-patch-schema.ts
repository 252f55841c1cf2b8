import {z} from 'zod';

/** The schema of a peer's reply to the request for the changes of a topic; the fields are those of `TopicPatch`. */
export const topicPatchSchema = z.object({
	changedAt: z.number().nonnegative(),
	changes: z.unknown().optional(),
	confirmedBeforeMs: z.number().optional(),
});
