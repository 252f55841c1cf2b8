import type {ReplicaMessage} from '@deckwheel/ledger';
import {z} from 'zod';

const seq = z.number().int().nonnegative();
const slot = z.number().int().nonnegative();
const epoch = z.number().int().positive();
const text = z.string().max(400);

const pair = z.object({
	epoch,
	generation: z.number().int().nonnegative(),
	primary: text.optional(),
	backup: text.optional(),
});

// Ops and ledgers come from a proven peer that checked their parts when they came in;
// here their outer shape is enough, and `applyOp` checks that rights are conserved.
const op = z.looseObject({type: z.enum(['open', 'rerun', 'settle', 'grant', 'give_back', 'give', 'receive', 'strand', 'forget'])});
const ledger = z.looseObject({
	holder: text,
	completeSince: z.number(),
	accounts: z.array(z.tuple([text, z.looseObject({granted: z.number(), reserved: z.number(), settled: z.number()})])),
	claims: z.array(z.looseObject({budget: text, key: text, runs: z.array(z.looseObject({number: z.number()}))})),
});

/** The schema of what the two hosts of a pair say to each other. */
export const replicaMessageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('append'), slot, epoch, seq, ops: z.array(op),
	}),
	z.object({
		type: z.literal('ack'), slot, epoch, seq,
	}),
	z.object({type: z.literal('behind'), slot, epoch}),
	z.object({
		type: z.literal('snapshot'), slot, pair, seq, ledger,
	}),
]) as unknown as z.ZodType<ReplicaMessage>;
