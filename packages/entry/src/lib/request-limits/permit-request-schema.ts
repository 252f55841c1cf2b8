import {z} from 'zod';
import {limitReportSchema} from './limit-report-schema.js';

/** Asks a coordinator for a permit for one request to an endpoint with a limit. `asker`: the `ip:port` at which peers reach the asker. */
export const permitRequestSchema = z.object({type: z.literal('permit'), asker: z.string().max(100), limit: limitReportSchema});
