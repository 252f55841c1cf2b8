import type {z} from 'zod';
import type {permitRequestSchema} from './permit-request-schema.js';

/** Requests a permit from a coordinator for one request to an endpoint. */
export type PermitRequest = Readonly<Omit<z.infer<typeof permitRequestSchema>, 'type'>>;
