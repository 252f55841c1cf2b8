import {z} from 'zod';
import {wireOriginSchema} from './wire-origin-schema.js';
import {wireVersionSchema} from './wire-version-schema.js';

/** The reply to an `origins` message: those of the origins asked for that the peer knows, and what it knows of versions. */
export const originsReplySchema = z.object({
	known: z.array(wireOriginSchema),
	/** The versions of services that have several, and of those asked for. */
	versions: z.array(wireVersionSchema),
	/** Whether the peer has been up for so long that it knows of all versions whose streams may be taken up. */
	isSettled: z.boolean().default(false),
	/** How long ago the peer's list of endpoints was confirmed, in ms. Left out where it never was, and by earlier versions of this program. */
	listAgeMs: z.number().nonnegative().optional(),
	/** Whether the peer has read the versions in the store since it was asked. */
	isStoreRead: z.boolean().default(false),
});
