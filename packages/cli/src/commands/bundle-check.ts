import {readFile} from 'node:fs/promises';
import {Args} from '@oclif/core';
import {checkBundle} from '@deckwheel/bundle';
import {parseJson} from '@deckwheel/core';
import {defineCommand} from '../lib/define-command.js';

/** `deckwheel bundle check FILE` */
export const bundleCheck = defineCommand({
	description: 'Check a bundle file, without the platform.',
	args: {file: Args.string({required: true, description: 'the bundle, in JSON'})},
	isOffline: true,
	async run({args}) {
		const checked = checkBundle(parseJson(await readFile(args.file!, 'utf8')));
		return checked.ok
			? {ok: true, data: {version: checked.value.version, faults: []}, text: `Version ${checked.value.version}: no faults.`}
			: {ok: false, error: checked.error.map(({path, message}) => `${path}: ${message}`).join('\n')};
	},
});
