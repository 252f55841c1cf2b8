import {z} from 'zod';

/** Asks a peer whether the endpoint with this id ended the connection that was taken over by this ticket in order, and still runs. */
export const tunnelEndRequestSchema = z.object({
	type: z.literal('tunnel_end'), ticket: z.string().max(100).regex(/^[\da-f]+$/), endpoint: z.string().max(200),
});
