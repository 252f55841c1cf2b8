import type {z} from 'zod';
import type {toldLimitSchema} from './told-limit-schema.js';

/** What a host tells a peer of an endpoint's limit on requests. */
export type ToldLimit = Readonly<z.infer<typeof toldLimitSchema>>;
