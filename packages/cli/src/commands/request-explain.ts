import {Args} from '@oclif/core';
import {z} from 'zod';
import {askHost} from '../lib/ask-host.js';
import {defineCommand} from '../lib/define-command.js';

const schema = z.looseObject({
	ran: z.string(),
	bill: z.number().optional(),
	home: z.string(),
	repeatable: z.boolean(),
	hasAnswer: z.boolean(),
	runs: z.array(z.looseObject({
		number: z.number(),
		endpoint: z.string(),
		runner: z.string(),
		state: z.string(),
		served: z.number(),
		reserved: z.number(),
		reason: z.string(),
	})),
});

const toText = ({ran, bill, home, repeatable, hasAnswer, runs}: z.infer<typeof schema>): string => [
	`ran=${ran} billed=${bill ?? 'not yet'} home=${home} repeatable=${repeatable} answer_kept=${hasAnswer}`,
	...runs.map(run => `run=${run.number} state=${run.state} endpoint=${run.endpoint} runner=${run.runner} reserved=${run.reserved} served=${run.served} ${run.reason}`),
].join('\n');

/** `deckwheel request explain BUDGET KEY` */
export const requestExplain = defineCommand({
	description: 'Explain a request by its key: which endpoint served it, why that one, and what it was billed.',
	args: {budget: Args.string({required: true}), key: Args.string({required: true})},
	async run({args, config}) {
		const problems: string[] = [];
		for (const host of config.hosts) {
			const answer = await askHost(host, `/requests/${encodeURIComponent(args.budget!)}/${encodeURIComponent(args.key!)}`, schema);
			if (answer.ok) {
				return {ok: true, data: answer.value, text: toText(answer.value)};
			}

			problems.push(`${host}: ${answer.error}`);
		}

		return {ok: false, error: problems.join('\n') || 'The configuration names no hosts.'};
	},
});
