import type {z} from 'zod';
import type {bundleSchema} from './bundle-schema.js';

/** The configuration that operators author, approve and roll. */
export type Bundle = Readonly<z.infer<typeof bundleSchema>>;
