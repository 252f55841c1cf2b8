import {z} from 'zod';

const maxNameLength = 200;

/** The origin of one stream as hosts send it to each other. It holds a remaining time and an age, because the monotonic clocks of two hosts are unrelated. */
export const wireOriginSchema = z.object({
	key: z.string().max(64),
	service: z.string().max(maxNameLength),
	version: z.string().max(maxNameLength),
	attempt: z.int().nonnegative(),
	keepMs: z.number().nonnegative(),
	/** How long ago a host first noted it. Earlier versions of this program do not send it. */
	ageMs: z.number().nonnegative().default(0),
});
