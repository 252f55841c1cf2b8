import {Args} from '@oclif/core';
import {askHost} from '../lib/ask-host.js';
import {defineCommand} from '../lib/define-command.js';

type Explanation = {
	readonly ran: string;
	readonly bill?: number;
	readonly home: string;
	readonly repeatable: boolean;
	readonly hasAnswer: boolean;
	readonly runs: ReadonlyArray<{
		readonly number: number;
		readonly endpoint: string;
		readonly runner: string;
		readonly state: string;
		readonly served: number;
		readonly reserved: number;
		readonly reason: string;
	}>;
};

const toText = ({ran, bill, home, repeatable, hasAnswer, runs}: Explanation): string => [
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
			const answer = await askHost<Explanation>(host, `/requests/${encodeURIComponent(args.budget!)}/${encodeURIComponent(args.key!)}`);
			if (answer.ok) {
				return {ok: true, data: answer.value, text: toText(answer.value)};
			}

			problems.push(`${host}: ${answer.error}`);
		}

		return {ok: false, error: problems.join('\n') || 'The configuration names no hosts.'};
	},
});
