import {Buffer} from 'node:buffer';
import {createPrivateKey, sign} from 'node:crypto';
import type {Signature} from './signature.js';

/**
Signs a bundle's text.

@param role Part of what is signed: an author's signature cannot pass as an approval.
@param privateKey Ed25519 private key as PEM.
*/
export const signText = (text: string, role: 'author' | 'approver', signer: string, privateKey: string): Signature => ({
	signer,
	value: sign(null, Buffer.from(`deckwheel-bundle-1\n${role}\n${text}`), createPrivateKey(privateKey)).toString('base64'),
});
