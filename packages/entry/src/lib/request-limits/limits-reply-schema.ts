import {z} from 'zod';
import {limitReportSchema} from './limit-report-schema.js';

/** The reply to a `limits` message: the limits that the peer knows if the sender asked for them, else none. */
export const limitsReplySchema = z.object({limits: z.array(limitReportSchema)});
