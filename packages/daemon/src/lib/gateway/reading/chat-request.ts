import type {z} from 'zod';
import type {chatRequestSchema} from './chat-request-schema.js';

/** A checked chat completion request. */
export type ChatRequest = Readonly<z.infer<typeof chatRequestSchema>>;
