import {z} from 'zod';

/** An endpoint's limit on requests as hosts report it to each other. It holds ages in place of times, because the monotonic clocks of two hosts are unrelated. */
export const limitReportSchema = z.object({
	/** The id of the endpoint's incarnation. */
	endpoint: z.string().max(200),
	/** The hall of the endpoint. */
	hall: z.string().max(100),
	/** The limit, in requests a second of all hosts together; absent when the endpoint no longer names a limit. */
	perSecond: z.number().nonnegative().optional(),
	/** The endpoint named the limit between these two ages: when the request was sent and when its response was read. */
	askedAgoMs: z.number().nonnegative(),
	readAgoMs: z.number().nonnegative(),
});
