import {Args, Flags} from '@oclif/core';
import {defineCommand} from '../lib/define-command.js';
import {topUpBudget} from '../top-up-budget.js';

/** `deckwheel budget create BUDGET` */
export const budgetCreate = defineCommand({
	description: 'Create a budget with prepaid tokens. Safe to repeat.',
	args: {budget: Args.string({required: true})},
	flags: {
		organisation: Flags.string({required: true}),
		tokens: Flags.integer({required: true, min: 0}),
	},
	async run({args, flags, config, platform}) {
		const outcome = await topUpBudget(platform, {
			budget: args.budget!, organisation: String(flags.organisation), tokens: Number(flags.tokens), id: 'created', slots: config.slots,
		});
		return outcome.ok ? {ok: true, data: {limit: outcome.value}, text: `The limit of ${args.budget!} is ${outcome.value} tokens.`} : outcome;
	},
});
