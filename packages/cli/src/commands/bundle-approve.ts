import {readFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {approveDraft} from '../approve-draft.js';
import {defineCommand} from '../lib/define-command.js';

/** `deckwheel bundle approve DRAFT` */
export const bundleApprove = defineCommand({
	description: 'Sign a draft as its approver. The author cannot.',
	args: {draft: Args.string({required: true})},
	flags: {
		signer: Flags.string({required: true, description: 'your name among the trusted keys'}),
		key: Flags.string({required: true, description: 'file of your Ed25519 private key (PEM)'}),
	},
	async run({args, flags, platform}) {
		const outcome = await approveDraft(platform, args.draft!, String(flags.signer), await readFile(String(flags.key), 'utf8'));
		return outcome.ok
			? {ok: true, data: {draft: outcome.value}, text: `Approved. Put it in force: deckwheel bundle roll ${outcome.value}`}
			: outcome;
	},
});
