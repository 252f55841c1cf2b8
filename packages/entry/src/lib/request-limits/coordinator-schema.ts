import {z} from 'zod';

/** A host that hands out permits, as hosts tell each other of it: the fields of `ListedPeer`. */
export const coordinatorSchema = z.object({holder: z.string().max(200), address: z.string().max(100), hall: z.string().max(100)});
