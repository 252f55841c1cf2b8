import type {SignedBundle} from '@deckwheel/bundle';
import {z} from 'zod';

const signature = z.object({signer: z.string(), value: z.string()});
const schema = z.object({text: z.string(), author: signature, approval: signature.optional()});

/** Reads a signed bundle out of the store; `undefined` when it is none. */
export const signedBundleOf = (value: unknown): SignedBundle | undefined => {
	const parsed = schema.safeParse(value);
	return parsed.success ? parsed.data : undefined;
};
