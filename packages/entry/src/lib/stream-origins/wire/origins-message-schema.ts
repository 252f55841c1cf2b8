import {z} from 'zod';
import {wireOriginSchema} from './wire-origin-schema.js';

/** The most origins that one message may hold. */
const maxOrigins = 200;

/** The most services of a route of which one message may ask for the versions. */
const maxServices = 1000;

/** The message in which a host tells a peer origins of streams (`told`), and asks for others by their keys (`asked`), and for the versions of services. */
export const originsMessageSchema = z.object({
	type: z.literal('origins'),
	told: z.array(wireOriginSchema).max(maxOrigins),
	asked: z.array(z.string().max(64)).max(maxOrigins),
	/** Earlier versions of this program do not send it. */
	services: z.array(z.string()).max(maxServices).default([]),
	/** Whether the receiver reads the versions in the store before it replies, since the sender cannot. */
	wantsStored: z.boolean().default(false),
});
