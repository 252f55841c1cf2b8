import {askHost} from '../lib/ask-host.js';
import {defineCommand} from '../lib/define-command.js';
import {printTable} from '../lib/print-table.js';
import type {StatusView} from '../lib/status-view.js';

type Row = {readonly host: string; readonly hall: string; readonly state: string; readonly version: number; readonly ageMs: number; readonly source: string};

const rowsOf = (view: StatusView): readonly Row[] => [
	{
		host: view.host, hall: view.hall, state: view.state, version: view.bundleVersion, ageMs: 0, source: 'itself',
	},
	...view.hosts.map(({host, hall, state, bundleVersion, heardMsAgo}) => ({
		host, hall, state, version: bundleVersion, ageMs: heardMsAgo, source: view.host,
	})),
];

// Of several views of one host, the youngest counts.
const youngest = (rows: readonly Row[]): readonly Row[] => {
	const byHost = new Map<string, Row>();
	for (const row of rows.toSorted((a, b) => b.ageMs - a.ageMs)) {
		byHost.set(row.host, row);
	}

	return [...byHost.values()].toSorted((a, b) => a.host < b.host ? -1 : 1);
};

/** `deckwheel bundle status` */
export const bundleStatus = defineCommand({
	description: 'Show which version is in force on which host, and how old that knowledge is.',
	async run({config}) {
		const answers = await Promise.all(config.hosts.map(async host => askHost<StatusView>(host, '/status')));
		const views = answers.flatMap(answer => answer.ok ? [answer.value] : []);
		if (views.length === 0) {
			return {ok: false, error: 'None of the hosts in the configuration answered. Check "hosts" and DECKWHEEL_TOKEN.'};
		}

		const rows = youngest(views.flatMap(view => rowsOf(view)));
		return {ok: true, data: rows, text: printTable(rows)};
	},
});
