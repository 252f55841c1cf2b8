import {z} from 'zod';
import {wireOriginSchema} from './wire-origin-schema.js';
import {wireVersionSchema} from './wire-version-schema.js';

/** The reply to an `origins` message: those of the origins asked for that the peer knows, the versions of services that have several, and whether the peer has been up for so long that it knows of all of them. */
export const originsReplySchema = z.object({known: z.array(wireOriginSchema), versions: z.array(wireVersionSchema), isSettled: z.boolean().default(false)});
