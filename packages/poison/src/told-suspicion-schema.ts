import {z} from 'zod';

/** More than a host remembers of one request; a message with more is not one of ours. */
const maxEndsTold = 64;

/** What hosts tell each other of one suspected request. Ages in place of times: their clocks share nothing. */
export const toldSuspicionSchema = z.object({
	/** The request's fingerprint. */
	request: z.string().max(64),
	ends: z.array(z.object({
		/** The life of the endpoint. */
		endpoint: z.string().max(200),
		sentAgoMs: z.number().nonnegative(),
		endedAgoMs: z.number().nonnegative(),
	})).max(maxEndsTold),
	/** Lives of endpoints whose end is not held against the request. */
	cleared: z.array(z.string().max(200)).max(maxEndsTold),
});
