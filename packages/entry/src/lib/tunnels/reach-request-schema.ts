import {z} from 'zod';
import {maxReachEndpoints} from './max-reach-endpoints.js';

/** Asks a peer which of some endpoints, by their ids, it reaches by its own links. */
export const reachRequestSchema = z.object({type: z.literal('reach'), endpoints: z.array(z.string().max(200)).max(maxReachEndpoints)});
