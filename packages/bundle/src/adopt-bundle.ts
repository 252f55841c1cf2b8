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

const isSamePerson = ({author, approval}: SignedBundle, trusted: readonly TrustedKey[]): boolean => {
	const keyOf = (signer: string | undefined) => trusted.filter(({id}) => id === signer).map(({publicKey}) => publicKey);
	const authorKeys = keyOf(author.signer);
	return author.signer === approval?.signer || keyOf(approval?.signer).some(key => authorKeys.includes(key));
};

/**
Decides whether a host takes a bundle. Versions only rise, also when a peer or the platform offers an older one.

@param current What is in force; `undefined` on a host that just started.
*/
export const adoptBundle = (current: AdoptedBundle | undefined, signed: SignedBundle, trusted: readonly TrustedKey[]): Result<AdoptedBundle, Rejection> => {
	const {text, author, approval} = signed;
	if (!approval || !verifySignature(text, 'author', author, trusted) || !verifySignature(text, 'approver', approval, trusted)) {
		return fail('bad_signature');
	}

	if (isSamePerson(signed, trusted)) {
		return fail('same_signer');
	}

	const checked = checkBundle(parseJson(text));
	if (!checked.ok) {
		return fail('bad_content');
	}

	const isNewer = checked.value.version > (current?.bundle.version ?? 0);
	return isNewer ? succeed({bundle: checked.value, signed}) : fail('not_newer');
};
