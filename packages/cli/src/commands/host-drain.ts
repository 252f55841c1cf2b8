import {Args} from '@oclif/core';
import {z} from 'zod';
import {askHost} from '../lib/ask-host.js';
import {defineCommand} from '../lib/define-command.js';

const schema = z.object({state: z.literal('leaving')});

/** `deckwheel host drain URL` */
export const hostDrain = defineCommand({
	description: 'Begin a planned stop of a host: no new work, open requests end, rights are handed over, it exits.',
	args: {url: Args.string({required: true, description: 'the host\'s door for operators'})},
	async run({args}) {
		const answer = await askHost(args.url!, '/drain', schema, 'POST');
		return answer.ok ? {ok: true, data: answer.value, text: 'The host is leaving.'} : answer;
	},
});
