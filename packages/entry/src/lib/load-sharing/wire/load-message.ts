import type {z} from 'zod';
import type {loadMessageSchema} from './load-message-schema.js';

/** Tells a load leader what is open at a host, and asks for totals. */
export type LoadMessage = Readonly<z.infer<typeof loadMessageSchema>>;
