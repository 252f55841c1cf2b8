/** A public key that hosts trust, from their settings. */
export type TrustedKey = {
	readonly id: string;
	readonly role: 'author' | 'approver';
	/** Ed25519 public key: SubjectPublicKeyInfo (DER) in base64. */
	readonly publicKey: string;
};
