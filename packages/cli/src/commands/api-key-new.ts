import {randomBytes} from 'node:crypto';
import {hashApiKey} from '@deckwheel/bundle';
import {defineCommand} from '../lib/define-command.js';

/** Random bytes of an API key. */
const keyBytes = 24;

/** `deckwheel api-key new` */
export const apiKeyNew = defineCommand({
	description: 'Make an API key for a caller. Only its hash goes into the bundle.',
	isOffline: true,
	async run() {
		const apiKey = randomBytes(keyBytes).toString('base64url');
		const sha256 = hashApiKey(apiKey);
		return {ok: true, data: {apiKey, sha256}, text: `for the caller:  ${apiKey}\nfor the bundle:  ${sha256}`};
	},
});
