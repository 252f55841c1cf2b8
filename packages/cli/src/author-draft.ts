import {checkBundle, signText} from '@deckwheel/bundle';
import {
	fail, succeed, type Result, parseJson,
} from '@deckwheel/core';
import type {Platform} from '@deckwheel/store-client';
import {draftId} from './lib/draft-id.js';
import {storeProblem} from './lib/store-problem.js';

/** Checks and signs a bundle as its author, and stores it as a draft. Safe to repeat. */
export const authorDraft = async (platform: Platform, text: string, signer: string, privateKey: string): Promise<Result<string, string>> => {
	const checked = checkBundle(parseJson(text));
	if (!checked.ok) {
		return fail(checked.error.map(({path, message}) => `${path}: ${message}`).join('\n'));
	}

	const id = draftId(text);
	const outcome = await platform.put(`bundle-draft/${id}`, {text, author: signText(text, 'author', signer, privateKey)}, 0);
	// The same text under the same name is the same draft.
	return outcome.ok || outcome.error === 'conflict' ? succeed(id) : fail(storeProblem[outcome.error]);
};
