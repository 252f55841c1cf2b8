import type {z} from 'zod';
import type {limitsMessageSchema} from './limits-message-schema.js';

/** Tells a peer of limits of endpoints. */
export type LimitsMessage = Readonly<Omit<z.infer<typeof limitsMessageSchema>, 'type'>>;
