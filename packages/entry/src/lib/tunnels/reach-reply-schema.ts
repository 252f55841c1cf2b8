import {z} from 'zod';
import {maxReachEndpoints} from './max-reach-endpoints.js';

/** The ids of the endpoints that the peer reached just now. */
export const reachReplySchema = z.object({reached: z.array(z.string().max(200)).max(maxReachEndpoints)});
