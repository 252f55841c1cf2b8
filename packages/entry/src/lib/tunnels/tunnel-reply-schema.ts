import {z} from 'zod';

/**
What became of a request for a tunnel. `open`: `ticket` takes over the connection; `unreached`: the peer does not reach the endpoint, or does not
list it; `cut`: the peer's own links are cut as well; `busy`: it opens no tunnel now. `served`: tunnels through the peer that are open;
`spentMs`: the time that the peer took.
*/
export const tunnelReplySchema = z.object({
	outcome: z.enum(['open', 'unreached', 'cut', 'busy']),
	/** In hexadecimal: it is sent in a header. */
	ticket: z.string().max(100).regex(/^[\da-f]+$/).optional(),
	served: z.number().nonnegative(),
	spentMs: z.number().nonnegative(),
});
