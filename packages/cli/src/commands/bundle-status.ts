import {askHosts} from '../lib/ask-hosts.js';
import {defineCommand} from '../lib/define-command.js';
import {printTable} from '../lib/print-table.js';
import {statusRows} from '../lib/status-rows.js';
import {statusViewSchema} from '../lib/status-view-schema.js';

/** `deckwheel bundle status` */
export const bundleStatus = defineCommand({
	description: 'Show which version is in force on which host, how old that knowledge is, and which hosts did not answer.',
	async run({config}) {
		const answers = await askHosts(config.hosts, '/status', statusViewSchema);
		if (!answers.some(({answer}) => answer.ok)) {
			return {ok: false, error: 'None of the hosts in the configuration answered. Check "hosts" and DECKWHEEL_TOKEN.'};
		}

		const rows = statusRows(answers);
		return {ok: true, data: rows, text: printTable(rows)};
	},
});
