import {z} from 'zod';

const pairSchema = z.object({
	epoch: z.number().int().nonnegative(),
	generation: z.number().int().nonnegative(),
	primary: z.string().optional(),
	backup: z.string().optional(),
});

/** The schema of a hall's pairs, in the store and between hosts. */
export const pairMapSchema = z.object({version: z.number().int().nonnegative(), pairs: z.array(pairSchema)});
