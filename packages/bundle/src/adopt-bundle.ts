import {
	fail, succeed, type Result, parseJson,
} from '@deckwheel/core';
import type {AdoptedBundle} from './adopted-bundle.js';
import {checkBundle} from './check-bundle.js';
import type {SignedBundle} from './signed-bundle.js';
import type {TrustedKey} from './trusted-key.js';
import {verifySignature} from './verify-signature.js';

/** Why a bundle was not adopted. */
type Rejection = 'not_newer' | 'bad_signature' | 'same_signer' | 'bad_content';

// A signer may be listed under several ids with the same public key, so the public keys are compared as well as the ids.
const isSelfApproved = ({author, approval}: SignedBundle, trusted: readonly TrustedKey[]): boolean => {
	const publicKeysOf = (signer: string | undefined) => trusted.filter(({id}) => id === signer).map(({publicKey}) => publicKey);
	const authorKeys = publicKeysOf(author.signer);
	return author.signer === approval?.signer || publicKeysOf(approval?.signer).some(key => authorKeys.includes(key));
};

/**
Decides whether a host adopts a bundle that a peer or the platform offers. A host never adopts a bundle whose version is not above
that of the bundle in force.

@param current The bundle in force; `undefined` if the host has adopted none since its start.
@param signed The bundle on offer.
@param trusted The keys of authors and approvers from the host's settings.
*/
export const adoptBundle = (current: AdoptedBundle | undefined, signed: SignedBundle, trusted: readonly TrustedKey[]): Result<AdoptedBundle, Rejection> => {
	const {text, author, approval} = signed;
	if (!approval || !verifySignature(text, 'author', author, trusted) || !verifySignature(text, 'approver', approval, trusted)) {
		return fail('bad_signature');
	}

	if (isSelfApproved(signed, trusted)) {
		return fail('same_signer');
	}

	const checked = checkBundle(parseJson(text));
	if (!checked.ok) {
		return fail('bad_content');
	}

	const isNewer = checked.value.version > (current?.bundle.version ?? 0);
	return isNewer ? succeed({bundle: checked.value, signed}) : fail('not_newer');
};
