import {z} from 'zod';

/** The version of the protocol between hosts. A host refuses a peer with another version. */
const protocolVersion = 1;

const identity = z.object({incarnation: z.string().max(200), hall: z.string().max(100)});

/** One frame on a link. `hello`, `prove` and `welcome` are the frames of the handshake, in this order. */
export const frameSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('hello'), version: z.literal(protocolVersion), nonce: z.string().length(32)}),
	z.object({
		type: z.literal('prove'), version: z.literal(protocolVersion), identity, nonce: z.string().length(32), proof: z.string().length(64),
	}),
	z.object({type: z.literal('welcome'), identity, proof: z.string().length(64)}),
	z.object({type: z.literal('request'), id: z.number(), body: z.unknown().optional()}),
	z.object({type: z.literal('reply'), id: z.number(), body: z.unknown().optional()}),
	z.object({type: z.literal('message'), body: z.unknown().optional()}),
]);
