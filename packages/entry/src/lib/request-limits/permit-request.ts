import type {z} from 'zod';
import type {permitRequestSchema} from './permit-request-schema.js';

/** Asks a coordinator for a permit for one request. */
export type PermitRequest = Readonly<Omit<z.infer<typeof permitRequestSchema>, 'type'>>;
