import {LRUCache} from 'lru-cache';

/** The most pairs of a client and a budget that are remembered, which bounds memory. */
const maxEntries = 20_000;

/** The demand at the hosts that borrow from this host (its clients), as they reported it. */
type ClientDemand = {
	/** Notes a client's total demand on a budget, in tokens. Returns by how much it exceeds the largest total noted before, in tokens. */
	readonly note: (client: string, budget: string, total: number) => number;
};

/** Creates the record of the clients' demand. The first total that a client reports counts in full. */
export const createClientDemand = (): ClientDemand => {
	const totals = new LRUCache<string, number>({max: maxEntries});
	return {
		note(client, budget, total) {
			const key = `${client}\n${budget}`;
			const knownTotal = totals.get(key) ?? 0;
			totals.set(key, Math.max(knownTotal, total));
			return Math.max(0, total - knownTotal);
		},
	};
};
