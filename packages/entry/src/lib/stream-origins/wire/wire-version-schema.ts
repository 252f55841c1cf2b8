import {z} from 'zod';

/** A software version of a service with several of them, as hosts tell each other of it. */
export const wireVersionSchema = z.object({
	service: z.string().max(200),
	version: z.string().max(200),
	/** How long its streams may still be taken up, as far as the sender knows. */
	keepMs: z.number().nonnegative(),
});
