import {z} from 'zod';
import {limitReportSchema} from './limit-report-schema.js';

/** Requests a permit from a coordinator for one request to an endpoint with a limit. `asker`: the `ip:port` at which peers reach the requesting host. */
export const permitRequestSchema = z.object({type: z.literal('permit'), asker: z.string().max(100), limit: limitReportSchema});
