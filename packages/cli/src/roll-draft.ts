import {checkBundle, type SignedBundle} from '@deckwheel/bundle';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {Platform, StoredObject, StoreError} from '@deckwheel/store-client';
import {signedBundleOf} from './lib/signed-bundle-of.js';
import {storeProblem} from './lib/store-problem.js';

const headKey = 'bundle/head';

const versionOf = (signed: SignedBundle | undefined): number => {
	const checked = signed && checkBundle(JSON.parse(signed.text));
	return checked?.ok ? checked.value.version : 0;
};

const readHead = async (platform: Platform): Promise<Result<StoredObject, string>> => {
	const head = await platform.get(headKey);
	if (head.ok) {
		return head;
	}

	return head.error === 'missing' ? succeed({key: headKey, version: 0, value: undefined}) : fail(storeProblem[head.error]);
};

type FailedWrite = {
	readonly draft: SignedBundle;
	/** The version of the object that it was to replace. */
	readonly replaced: number;
	readonly error: StoreError;
};

// A write whose answer was lost may have taken effect, or still be on its way while nobody else has written.
const settleRoll = async (platform: Platform, {draft, replaced, error}: FailedWrite): Promise<Result<number, string>> => {
	const head = await readHead(platform);
	const inForce = head.ok ? signedBundleOf(head.value.value) : undefined;
	if (inForce?.text === draft.text) {
		return succeed(versionOf(draft));
	}

	return head.ok && head.value.version !== replaced
		? fail(`Another operator rolled version ${versionOf(inForce)} first. Author your change again on top of it.`)
		: fail(storeProblem[error]);
};

/**
Puts an approved draft in force. Acceptance is one conditional write: of operators who race, one wins,
and the others are told which version did.
*/
export const rollDraft = async (platform: Platform, id: string): Promise<Result<number, string>> => {
	const object = await platform.get(`bundle-draft/${id}`);
	if (!object.ok) {
		return fail(storeProblem[object.error]);
	}

	const draft = signedBundleOf(object.value.value);
	if (!draft?.approval) {
		return fail('The draft is not approved yet.');
	}

	const head = await readHead(platform);
	if (!head.ok) {
		return head;
	}

	const inForce = signedBundleOf(head.value.value);
	if (inForce?.text === draft.text) {
		return succeed(versionOf(draft));
	}

	const expected = versionOf(inForce) + 1;
	if (versionOf(draft) !== expected) {
		return fail(`Version ${versionOf(inForce)} is in force, so the next one must be ${expected}; this draft is ${versionOf(draft)}. Author it again on top of what is in force.`);
	}

	const outcome = await platform.put(headKey, draft, head.value.version);
	return outcome.ok ? succeed(versionOf(draft)) : settleRoll(platform, {draft, replaced: head.value.version, error: outcome.error});
};
