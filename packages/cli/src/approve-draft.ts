import {signText} from '@deckwheel/bundle';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {Platform} from '@deckwheel/store-client';
import {signedBundleOf} from './lib/signed-bundle-of.js';
import {storeProblem} from './lib/store-problem.js';

/** Signs a draft as its approver. One approval wins; a second one is told whose. */
export const approveDraft = async (platform: Platform, id: string, signer: string, privateKey: string): Promise<Result<string, string>> => {
	const key = `bundle-draft/${id}`;
	const object = await platform.get(key);
	if (!object.ok) {
		return fail(storeProblem[object.error]);
	}

	const draft = signedBundleOf(object.value.value);
	if (!draft) {
		return fail('The draft in the store is not a signed bundle. Author it again.');
	}

	if (draft.author.signer === signer) {
		return fail('The author cannot approve. Ask somebody else.');
	}

	if (draft.approval) {
		return draft.approval.signer === signer ? succeed(id) : fail(`It was already approved by ${draft.approval.signer}.`);
	}

	const approved = {...draft, approval: signText(draft.text, 'approver', signer, privateKey)};
	const outcome = await platform.put(key, approved, object.value.version);
	return outcome.ok ? succeed(id) : fail(storeProblem[outcome.error]);
};
