import {z} from 'zod';

/** Asks a peer to open a connection to an endpoint, by its id, and to offer it as a tunnel. */
export const tunnelRequestSchema = z.object({type: z.literal('tunnel'), endpoint: z.string().max(200)});
