import {generateKeyPairSync} from 'node:crypto';
import type {TrustedKey} from '@deckwheel/bundle';

/** Fresh signing keys for a try-out fleet. */
type TestKeys = {
	readonly trusted: readonly TrustedKey[];
	/** PEM. */
	readonly author: string;
	readonly approver: string;
};

const newPair = (id: string, role: TrustedKey['role']) => {
	const {publicKey, privateKey} = generateKeyPairSync('ed25519');
	return {
		trusted: {id, role, publicKey: publicKey.export({format: 'der', type: 'spki'}).toString('base64')},
		pem: privateKey.export({format: 'pem', type: 'pkcs8'}).toString(),
	};
};

/** Makes an author's and an approver's key. */
export const testKeys = (): TestKeys => {
	const author = newPair('ada', 'author');
	const approver = newPair('ben', 'approver');
	return {trusted: [author.trusted, approver.trusted], author: author.pem, approver: approver.pem};
};
