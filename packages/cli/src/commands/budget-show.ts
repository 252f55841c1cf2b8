import {ownValue} from '@deckwheel/core';
import {Args} from '@oclif/core';
import {z} from 'zod';
import {slotOfBudget, unallocated, type RightsObject} from '@deckwheel/ledger';
import {askHosts} from '../lib/ask-hosts.js';
import {defineCommand} from '../lib/define-command.js';
import {printTable} from '../lib/print-table.js';
import {storeProblem} from '../lib/store-problem.js';

const schema = z.object({
	role: z.string(),
	holder: z.string().optional(),
	granted: z.number(),
	reserved: z.number(),
	settled: z.number(),
	billed: z.number(),
	wasted: z.number(),
	available: z.number(),
});

/** `deckwheel budget show BUDGET` */
export const budgetShow = defineCommand({
	description: 'Show a budget: its limit, what each holder has, spent and reserved, and what is stranded.',
	args: {budget: Args.string({required: true})},
	async run({args, config, platform}) {
		const budget = args.budget!;
		const object = await platform.get(`rights/${slotOfBudget(budget, config.slots)}`);
		if (!object.ok) {
			return {ok: false, error: storeProblem[object.error]};
		}

		const rights = ownValue((object.value.value as RightsObject).budgets, budget);
		if (!rights) {
			return {ok: false, error: `There is no budget "${budget}".`};
		}

		const answers = await askHosts(config.hosts, `/budgets/${budget}`, schema);
		const live = answers.flatMap(({answer}) => answer.ok && answer.value.role === 'primary' ? [answer.value] : []);
		const rows = Object.entries(rights.holders).map(([holder, stored]) => {
			const now = live.find(view => view.holder === holder);
			const isCurrent = now !== undefined;
			const rest = stored.granted + stored.transferred - stored.settled;
			return {
				holder,
				granted: now?.granted ?? stored.granted,
				reserved: now?.reserved,
				settled: now?.settled ?? stored.settled,
				billed: now?.billed ?? stored.billed,
				wasted: now?.wasted,
				available: now?.available,
				stranded: isCurrent ? 0 : rest,
				why: isCurrent ? '' : 'no primary of this holder answered: it is cut off, or both its hosts were lost',
			};
		});
		const unanswered = answers.flatMap(({url, answer}) => answer.ok ? [] : [{host: url, error: answer.error}]);
		const notes = answers.length === 0
			? ['no host was asked: the configuration names none']
			: unanswered.map(({host, error}) => `no answer from ${host}: ${error}`);
		const summary = `budget=${budget} organisation=${rights.organisation} limit=${rights.limit} unallocated=${unallocated(rights)}`;
		return {
			ok: true,
			data: {
				budget, organisation: rights.organisation, limit: rights.limit, unallocated: unallocated(rights), holders: rows, asked: answers.length, unanswered,
			},
			text: [summary, ...(rows.length === 0 ? [] : [printTable(rows)]), ...notes].join('\n'),
		};
	},
});
