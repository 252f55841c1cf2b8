/** A public key of an author or approver that a host trusts. Trusted keys come from the host's settings. */
export type TrustedKey = {
	/** The id of the signer. */
	readonly id: string;
	readonly role: 'author' | 'approver';
	/** Ed25519 public key: SubjectPublicKeyInfo (DER) in base64. */
	readonly publicKey: string;
};
