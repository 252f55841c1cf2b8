import type {LogFields} from '@deckwheel/host-kit';
import type {SuspicionTable} from './suspicion-table.js';
import type {Suspicion} from './suspicion.js';

/** Takes in what was learnt of a request, and tells whether it is blocked or let go by that. */
export type Learn = (request: string, learnt: Suspicion) => boolean;

type Options = {
	readonly table: SuspicionTable;
	readonly log: (event: string, fields: LogFields) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates what puts suspicions into the table, and logs when a request is blocked or let go. */
export const createLearner = ({table, log, now}: Options): Learn => {
	const logBlock = (request: string, until: number): void => {
		const {ends, cleared} = table.get(request)!;
		const held = [...ends.keys()].filter(endpoint => !cleared.has(endpoint));
		log('request_blocked', {request, for_ms: Math.round(until - now()), endpoints: held.join(',')});
	};

	return (request, learnt) => {
		const before = table.blockedUntil(request);
		table.merge(request, learnt);
		const after = table.blockedUntil(request);
		if (before === undefined && after !== undefined) {
			logBlock(request, after);
		} else if (before !== undefined && after === undefined) {
			log('request_unblocked', {request});
		}

		return (before === undefined) !== (after === undefined);
	};
};
