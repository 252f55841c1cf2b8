import {z} from 'zod';
import {limitReportSchema} from './limit-report-schema.js';

/** What a peer knows of limits, where it was asked for that. */
export const limitsReplySchema = z.object({limits: z.array(limitReportSchema)});
