import {Buffer} from 'node:buffer';
import {createPublicKey, verify} from 'node:crypto';
import type {Signature} from './signature.js';
import type {TrustedKey} from './trusted-key.js';

/** Whether a trusted key of this role made the signature. */
export const verifySignature = (text: string, role: TrustedKey['role'], signature: Signature, trusted: readonly TrustedKey[]): boolean => {
	const entry = trusted.find(({id, role: trustedRole}) => id === signature.signer && trustedRole === role);
	if (!entry) {
		return false;
	}

	const key = createPublicKey({key: Buffer.from(entry.publicKey, 'base64'), format: 'der', type: 'spki'});
	return verify(null, Buffer.from(`deckwheel-bundle-1\n${role}\n${text}`), key, Buffer.from(signature.value, 'base64'));
};
