import {readFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {authorDraft} from '../author-draft.js';
import {defineCommand} from '../lib/define-command.js';

/** `deckwheel bundle author FILE` */
export const bundleAuthor = defineCommand({
	description: 'Check and sign a bundle as its author, and store it as a draft.',
	args: {file: Args.string({required: true, description: 'the bundle, in JSON'})},
	flags: {
		signer: Flags.string({required: true, description: 'your name among the trusted keys'}),
		key: Flags.string({required: true, description: 'file of your Ed25519 private key (PEM)'}),
	},
	async run({args, flags, platform}) {
		const text = await readFile(args.file!, 'utf8');
		const outcome = await authorDraft(platform, text, String(flags.signer), await readFile(String(flags.key), 'utf8'));
		return outcome.ok
			? {ok: true, data: {draft: outcome.value}, text: `Draft ${outcome.value}. Somebody else approves it: deckwheel bundle approve ${outcome.value}`}
			: outcome;
	},
});
