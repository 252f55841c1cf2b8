import type {z} from 'zod';
import type {limitsMessageSchema} from './limits-message-schema.js';

/** Reports limits of endpoints to a peer, and may ask for the peer's. */
export type LimitsMessage = Readonly<Omit<z.infer<typeof limitsMessageSchema>, 'type'>>;
