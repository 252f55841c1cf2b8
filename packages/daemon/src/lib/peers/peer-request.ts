import type {z} from 'zod';
import type {peerRequestSchema} from './peer-request-schema.js';

/** A checked request from another host. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;
