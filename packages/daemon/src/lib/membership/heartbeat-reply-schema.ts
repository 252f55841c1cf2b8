import {z} from 'zod';

/** What a peer answers to a heartbeat: its own status, and some hosts that it knows of. */
export const heartbeatReplySchema = z.object({
	status: z.object({
		host: z.string(),
		incarnation: z.string(),
		hall: z.string(),
		address: z.string(),
		state: z.enum(['live', 'leaving']),
		pairsVersion: z.number(),
		bundleVersion: z.number(),
	}),
	known: z.array(z.object({host: z.string(), hall: z.string(), address: z.string()})),
});
