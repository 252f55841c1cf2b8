import {z} from 'zod';

const signatureSchema = z.object({signer: z.string().max(200), value: z.string().max(200)});

/** The schema of a signed bundle, as stored in the platform's store and sent between hosts. */
export const signedBundleSchema = z.object({
	text: z.string().max(1_048_576),
	author: signatureSchema,
	approval: signatureSchema.optional(),
});
