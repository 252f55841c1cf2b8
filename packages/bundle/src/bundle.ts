import type {z} from 'zod';
import type {bundleSchema} from './bundle-schema.js';

/** The configuration of all hosts, which operators author, approve and roll out. */
export type Bundle = Readonly<z.infer<typeof bundleSchema>>;
