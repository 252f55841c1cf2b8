import {Buffer} from 'node:buffer';
import {createPublicKey, verify} from 'node:crypto';
import type {Signature} from './signature.js';
import type {TrustedKey} from './trusted-key.js';

/** Whether the signature over the bundle's text was made with the trusted key of the signer for the role. */
export const verifySignature = (text: string, role: TrustedKey['role'], signature: Signature, trusted: readonly TrustedKey[]): boolean => {
	const trustedKey = trusted.find(({id, role: trustedRole}) => id === signature.signer && trustedRole === role);
	if (!trustedKey) {
		return false;
	}

	const publicKey = createPublicKey({key: Buffer.from(trustedKey.publicKey, 'base64'), format: 'der', type: 'spki'});
	return verify(null, Buffer.from(`deckwheel-bundle-1\n${role}\n${text}`), publicKey, Buffer.from(signature.value, 'base64'));
};
