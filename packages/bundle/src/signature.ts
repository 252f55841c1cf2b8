/** Somebody's signature over a bundle's text. */
export type Signature = {
	/** Who signed, as named in the trusted keys. */
	readonly signer: string;
	/** Ed25519, in base64. */
	readonly value: string;
};
