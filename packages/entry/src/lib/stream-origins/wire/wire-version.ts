import type {z} from 'zod';
import type {wireVersionSchema} from './wire-version-schema.js';

/** A software version of a service with several of them, as hosts tell each other of it. */
export type WireVersion = Readonly<z.infer<typeof wireVersionSchema>>;
