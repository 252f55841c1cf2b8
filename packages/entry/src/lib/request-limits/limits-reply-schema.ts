import {z} from 'zod';
import {toldLimitSchema} from './told-limit-schema.js';

/** What a peer knows of limits, where it was asked for that. */
export const limitsReplySchema = z.object({limits: z.array(toldLimitSchema)});
