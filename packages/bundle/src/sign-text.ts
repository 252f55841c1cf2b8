import {Buffer} from 'node:buffer';
import {createPrivateKey, sign} from 'node:crypto';
import type {Signature} from './signature.js';

/**
Signs the text of a bundle.

@param role The role of the signer. The signature covers the role, so that an author's signature cannot pass as an approval.
@param signer The id of the signer in the hosts' trusted keys.
@param privateKey Ed25519 private key, in PEM.
*/
export const signText = (text: string, role: 'author' | 'approver', signer: string, privateKey: string): Signature => ({
	signer,
	value: sign(null, Buffer.from(`deckwheel-bundle-1\n${role}\n${text}`), createPrivateKey(privateKey)).toString('base64'),
});
