import type {z} from 'zod';
import type {wireSuspicionSchema} from '../wire-suspicion-schema.js';

/** A suspicion of one request as hosts send it to each other. */
export type WireSuspicion = Readonly<z.infer<typeof wireSuspicionSchema>>;
