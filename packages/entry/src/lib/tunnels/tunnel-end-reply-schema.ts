import {z} from 'zod';

/** `hasEnded`: the endpoint ended the connection in order, all that it sent was passed on, and it accepted another connection after that. */
export const tunnelEndReplySchema = z.object({hasEnded: z.boolean()});
