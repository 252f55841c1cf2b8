import type {z} from 'zod';
import type {wireOriginSchema} from './wire-origin-schema.js';

/** The origin of one stream as hosts send it to each other. */
export type WireOrigin = Readonly<z.infer<typeof wireOriginSchema>>;
