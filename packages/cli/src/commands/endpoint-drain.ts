import {readFile, writeFile} from 'node:fs/promises';
import {Args} from '@oclif/core';
import {checkBundle} from '@deckwheel/bundle';
import {defineCommand} from '../lib/define-command.js';

/** `deckwheel endpoint drain FILE ENDPOINT` */
export const endpointDrain = defineCommand({
	description: 'Write the next version of a bundle file, in which an endpoint is leaving. Author, approve and roll it as usual.',
	args: {file: Args.string({required: true}), endpoint: Args.string({required: true})},
	isOffline: true,
	async run({args}) {
		const checked = checkBundle(JSON.parse(await readFile(args.file!, 'utf8')));
		if (!checked.ok) {
			return {ok: false, error: checked.error.map(({path, message}) => `${path}: ${message}`).join('\n')};
		}

		const bundle = checked.value;
		if (!bundle.endpoints.some(({id}) => id === args.endpoint)) {
			return {ok: false, error: `The bundle has no endpoint "${args.endpoint!}".`};
		}

		const endpoints = bundle.endpoints.map(endpoint => endpoint.id === args.endpoint ? {...endpoint, isLeaving: true} : endpoint);
		const next = {...bundle, version: bundle.version + 1, endpoints};
		await writeFile(args.file!, `${JSON.stringify(next, undefined, '\t')}\n`);
		return {ok: true, data: {version: next.version}, text: `Wrote version ${next.version} to ${args.file!}.`};
	},
});
