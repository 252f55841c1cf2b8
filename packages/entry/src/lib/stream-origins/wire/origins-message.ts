import type {z} from 'zod';
import type {originsMessageSchema} from './origins-message-schema.js';

/** The message in which a host tells a peer origins of streams, and asks for others. */
export type OriginsMessage = Readonly<z.infer<typeof originsMessageSchema>>;
