import type {Signature} from './signature.js';

/** A bundle as stored and sent between hosts: its exact text, and the signatures of its author and approver. */
export type SignedBundle = {
	/** The bundle as JSON. The signatures cover exactly this text, so the text must never be reformatted. */
	readonly text: string;
	readonly author: Signature;
	/** The signature of an approver who is not the author; absent until the bundle is approved. */
	readonly approval?: Signature;
};
