/** A signature over the text of a bundle and the role of its signer. */
export type Signature = {
	/** The id of the signer in the hosts' trusted keys. */
	readonly signer: string;
	/** Ed25519 signature, in base64. */
	readonly value: string;
};
