import type {HostAnswer} from './host-answer.js';
import type {StatusView} from './status-view.js';

/** What is known of one host; of one that did not answer, only its URL in the configuration and why. */
type StatusRow = {
	readonly host: string;
	readonly hall?: string;
	readonly state: string;
	readonly version?: number;
	readonly ageMs?: number;
	/** Whose word it is. */
	readonly source: string;
};

type KnownRow = Required<StatusRow>;

const rowsOf = (view: StatusView): readonly KnownRow[] => [
	{
		host: view.host, hall: view.hall, state: view.state, version: view.bundleVersion, ageMs: 0, source: 'itself',
	},
	...view.hosts.map(({host, hall, state, bundleVersion, heardMsAgo}) => ({
		host, hall, state, version: bundleVersion, ageMs: heardMsAgo, source: view.host,
	})),
];

// Of several views of one host, the youngest counts.
const youngest = (rows: readonly KnownRow[]): readonly KnownRow[] => {
	const byHost = new Map<string, KnownRow>();
	for (const row of rows.toSorted((a, b) => b.ageMs - a.ageMs)) {
		byHost.set(row.host, row);
	}

	return [...byHost.values()].toSorted((a, b) => a.host < b.host ? -1 : 1);
};

/** Lists what the hosts of the configuration say of themselves and of each other, and then each of them that did not answer: it may have another version in force. Pure. */
export const statusRows = (answers: ReadonlyArray<HostAnswer<StatusView>>): readonly StatusRow[] => [
	...youngest(answers.flatMap(({answer}) => answer.ok ? rowsOf(answer.value) : [])),
	...answers.flatMap(({url, answer}) => answer.ok ? [] : [{host: url, state: 'no_answer', source: answer.error}]),
];
