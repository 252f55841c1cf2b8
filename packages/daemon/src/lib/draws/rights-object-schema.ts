import {recordSchema} from '@deckwheel/core';
import {z} from 'zod';

const holderSchema = z.object({
	epoch: z.number(), granted: z.number(), transferred: z.number(), rate: z.number(), settled: z.number(), billed: z.number(),
});

const budgetSchema = z.object({
	organisation: z.string(),
	limit: z.number(),
	topUps: z.array(z.string()),
	holders: recordSchema(holderSchema),
});

/** The schema of a slot's budgets in the store. */
export const rightsObjectSchema = z.object({budgets: recordSchema(budgetSchema)});
