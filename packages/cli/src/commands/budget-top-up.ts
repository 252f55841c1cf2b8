import {Args, Flags} from '@oclif/core';
import {defineCommand} from '../lib/define-command.js';
import {topUpBudget} from '../top-up-budget.js';

/** `deckwheel budget top-up BUDGET` */
export const budgetTopUp = defineCommand({
	description: 'Pay tokens into a budget. The same --id again changes nothing.',
	args: {budget: Args.string({required: true})},
	flags: {
		tokens: Flags.integer({required: true, min: 1}),
		id: Flags.string({required: true, description: 'names the payment, such as an invoice number'}),
	},
	async run({args, flags, config, platform}) {
		const outcome = await topUpBudget(platform, {
			budget: args.budget!, tokens: Number(flags.tokens), id: String(flags.id), slots: config.slots,
		});
		return outcome.ok ? {ok: true, data: {limit: outcome.value}, text: `The limit of ${args.budget!} is ${outcome.value} tokens.`} : outcome;
	},
});
