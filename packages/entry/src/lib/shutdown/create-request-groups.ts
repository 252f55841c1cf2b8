import {getEventListeners, setMaxListeners} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** The number of groups: a shutdown ends about as large a part of the open requests at a time as one group holds. */
const groupCount = 16;

/** The open requests of a host in groups of about the same size, each of which a shutdown can end alone. */
export type RequestGroups = {
	/** The signal of the group that the next request belongs to; it is aborted when the group is to end. An aborted one once all groups are ended. */
	readonly assign: () => AbortSignal;
	/** Ends as many groups as hold a number of the open requests. Returns how many requests listened to their signals. */
	readonly end: (excess: number, open: number) => number;
	/** Ends all groups, one in each turn of the event loop, so that the first responses do not wait for the ends of all requests. */
	readonly endAll: () => Promise<void>;
};

/** Creates the groups of a host that is not shutting down. */
export const createRequestGroups = (): RequestGroups => {
	let assigned = 0;
	let groups: readonly AbortController[] = Array.from({length: groupCount}, () => new AbortController());
	const ended = new AbortController();
	ended.abort();
	for (const {signal} of groups) {
		// Each open request listens to a signal, so more than ten listeners are no leak.
		setMaxListeners(0, signal);
	}

	const endFirst = (count: number): number => {
		const ending = groups.slice(0, count);
		groups = groups.slice(count);
		let requests = 0;
		for (const group of ending) {
			requests += getEventListeners(group.signal, 'abort').length;
			group.abort();
		}

		return requests;
	};

	return {
		assign() {
			assigned++;
			return (groups[assigned % groups.length] ?? ended).signal;
		},
		end: (excess, open) => endFirst(Math.ceil(groups.length * excess / Math.max(1, open))),
		async endAll() {
			while (groups.length > 0) {
				endFirst(1);
				await nextTurn();
			}
		},
	};
};
