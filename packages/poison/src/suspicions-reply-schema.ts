import {z} from 'zod';
import {toldSuspicionSchema} from './told-suspicion-schema.js';

/** What a peer knows of suspected requests beyond what it was told. */
export const suspicionsReplySchema = z.object({suspicions: z.array(toldSuspicionSchema)});
