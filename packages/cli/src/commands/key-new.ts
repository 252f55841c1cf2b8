import {generateKeyPairSync} from 'node:crypto';
import {writeFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {defineCommand} from '../lib/define-command.js';

/** The mode of a private key file: only its owner may read or write it. */
const ownerOnly = 0o600;

/** `deckwheel key new FILE` */
export const keyNew = defineCommand({
	description: 'Make a signing key. Prints the entry for "trustedKeys" in the daemons\' settings.',
	args: {file: Args.string({required: true, description: 'where the private key goes; it must not exist yet'})},
	flags: {
		id: Flags.string({required: true}),
		role: Flags.string({required: true, options: ['author', 'approver']}),
	},
	isOffline: true,
	async run({args, flags}) {
		const {publicKey, privateKey} = generateKeyPairSync('ed25519');
		await writeFile(args.file!, privateKey.export({format: 'pem', type: 'pkcs8'}), {flag: 'wx', mode: ownerOnly});
		const entry = {id: flags.id, role: flags.role, publicKey: publicKey.export({format: 'der', type: 'spki'}).toString('base64')};
		return {ok: true, data: entry, text: JSON.stringify(entry)};
	},
});
