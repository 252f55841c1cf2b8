import type {LogFields} from '@deckwheel/host-kit';
import type {SuspicionTable} from './suspicion-table.js';
import type {Suspicion} from './suspicion.js';

/** Records an update to what is known of a request; returns whether the update blocked or unblocked the request. */
export type RecordSuspicion = (request: string, update: Suspicion) => boolean;

type Options = {
	readonly table: SuspicionTable;
	/** Writes one log line of key=value pairs for an event. */
	readonly log: (event: string, fields: LogFields) => void;
	/** The time in monotonic ms. */
	readonly now: () => number;
};

/** Creates the function that adds suspicions to the table and logs when a request is blocked or unblocked. */
export const createSuspicionRecorder = ({table, log, now}: Options): RecordSuspicion => {
	const logBlock = (request: string, until: number): void => {
		const {crashes, cleared} = table.get(request)!;
		const counted = [...crashes.keys()].filter(endpoint => !cleared.has(endpoint));
		log('request_blocked', {request, for_ms: Math.round(until - now()), endpoints: counted.join(',')});
	};

	return (request, update) => {
		const before = table.blockedUntil(request);
		table.merge(request, update);
		const after = table.blockedUntil(request);
		if (before === undefined && after !== undefined) {
			logBlock(request, after);
		} else if (before !== undefined && after === undefined) {
			log('request_unblocked', {request});
		}

		return (before === undefined) !== (after === undefined);
	};
};
