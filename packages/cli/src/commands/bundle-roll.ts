import {Args} from '@oclif/core';
import {defineCommand} from '../lib/define-command.js';
import {rollDraft} from '../roll-draft.js';

/** `deckwheel bundle roll DRAFT` */
export const bundleRoll = defineCommand({
	description: 'Put an approved draft in force. Of operators who race, one wins.',
	args: {draft: Args.string({required: true})},
	async run({args, platform}) {
		const outcome = await rollDraft(platform, args.draft!);
		return outcome.ok
			? {ok: true, data: {version: outcome.value}, text: `Version ${outcome.value} is accepted. Follow it: deckwheel bundle status`}
			: outcome;
	},
});
