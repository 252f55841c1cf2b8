import {signedBundleSchema, type SignedBundle} from '@deckwheel/bundle';

/** Reads a signed bundle out of the store; `undefined` when it is none. */
export const signedBundleOf = (value: unknown): SignedBundle | undefined => {
	const parsed = signedBundleSchema.safeParse(value);
	return parsed.success ? parsed.data : undefined;
};
