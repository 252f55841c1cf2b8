import {maxHeaderSize} from 'node:http';
import {suspicionsRequestSchema} from '@deckwheel/poison';
import {z} from 'zod';

const text = z.string().max(400);
const tokens = z.number().int().nonnegative();
const wallTime = z.number().nonnegative();

const statusSchema = z.object({
	host: text,
	incarnation: text,
	hall: text,
	address: text,
	state: z.enum(['live', 'leaving']),
	pairsVersion: z.number().int(),
	bundleVersion: z.number().int(),
});

// A service's header may be as long as this host reads.
const answerSchema = z.object({status: z.number().int(), contentType: z.string().max(maxHeaderSize), body: z.string()});

const claimSchema = z.object({
	type: z.literal('claim'),
	budget: text,
	key: text,
	fingerprint: text,
	repeatable: z.boolean(),
	attempt: text,
	runner: text,
	endpoint: text,
	reason: z.string().max(1000),
	worstCase: tokens,
	sendBy: wallTime,
	keepUntil: wallTime,
	keyMadeAt: wallTime.optional(),
});

const settleSchema = z.object({
	type: z.literal('settle'),
	budget: text,
	key: text,
	run: z.number().int().nonnegative(),
	attempt: text.optional(),
	outcome: z.enum(['not_run', 'finished', 'failed', 'lost']),
	served: tokens,
	final: z.boolean(),
	answer: answerSchema.optional(),
});

// Only what one host may ask of another. Grants, give-backs and expiry are for the primary itself.
const slotRequestSchema = z.discriminatedUnion('type', [
	claimSchema,
	settleSchema,
	z.object({type: z.literal('lookup'), budget: text, key: text}),
	z.object({
		type: z.literal('want'), budget: text, holder: text, tokens,
	}),
	z.object({
		type: z.literal('receive'), budget: text, to: text, from: text, total: tokens,
	}),
]);

/** What a host may ask another one for. */
export const peerRequestSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('heartbeat'), status: statusSchema}),
	z.object({type: z.literal('pairs')}),
	z.object({type: z.literal('bundle')}),
	suspicionsRequestSchema,
	z.object({
		type: z.literal('slot'),
		slot: z.number().int().nonnegative(),
		/** How often it was forwarded. */
		hops: z.number().int().nonnegative().max(3),
		request: slotRequestSchema,
		/** W3C trace context of the caller's span. */
		trace: z.record(z.string(), z.string()).optional(),
	}),
]);
