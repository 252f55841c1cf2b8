import {z} from 'zod';

/** The most crashes, or cleared endpoints, that a message may list for one request: more than a host remembers of a request (16). */
const maxCrashesPerSuspicion = 64;

/** A suspicion as hosts send it to each other. It holds ages in place of times, because the monotonic clocks of two hosts are unrelated. */
export const wireSuspicionSchema = z.object({
	/** The request's fingerprint. */
	request: z.string().max(64),
	/** Runs that ended with a crash of their endpoint. */
	ends: z.array(z.object({
		/** The id of the endpoint's incarnation. */
		endpoint: z.string().max(200),
		sentAgoMs: z.number().nonnegative(),
		endedAgoMs: z.number().nonnegative(),
	})).max(maxCrashesPerSuspicion),
	/** The ids of endpoint incarnations whose crashes do not count against the request. */
	cleared: z.array(z.string().max(200)).max(maxCrashesPerSuspicion),
});
