import type {Signature} from './signature.js';

/** A bundle as it travels: its exact text, and who stands for it. */
export type SignedBundle = {
	/** The bundle's JSON. Signatures are over these very bytes. */
	readonly text: string;
	readonly author: Signature;
	/** Absent until somebody other than the author approves. */
	readonly approval?: Signature;
};
