import type {z} from 'zod';
import type {toldSuspicionSchema} from '../told-suspicion-schema.js';

/** What a host tells of one suspected request. */
export type ToldSuspicion = Readonly<z.infer<typeof toldSuspicionSchema>>;
