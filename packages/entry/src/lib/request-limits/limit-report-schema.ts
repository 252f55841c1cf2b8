import {z} from 'zod';

/** What hosts tell each other of an endpoint's limit on requests. An age in place of a time: their clocks share nothing. */
export const limitReportSchema = z.object({
	/** The life of the endpoint. */
	endpoint: z.string().max(200),
	/** The hall of the endpoint. */
	hall: z.string().max(100),
	/** Requests a second of all hosts together; without one, the endpoint no longer names a limit. */
	perSecond: z.number().nonnegative().optional(),
	/** It said so after the first and before the second. */
	askedAgoMs: z.number().nonnegative(),
	readAgoMs: z.number().nonnegative(),
});
