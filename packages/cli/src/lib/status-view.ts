import type {z} from 'zod';
import type {statusViewSchema} from './status-view-schema.js';

/** What a host's operators' interface says of it and the hosts it knows. */
export type StatusView = Readonly<z.infer<typeof statusViewSchema>>;
