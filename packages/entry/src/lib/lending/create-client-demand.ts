import {LRUCache} from 'lru-cache';

/** Clients and budgets remembered: a bound on memory. */
const maxEntries = 20_000;

/** What this host was told of the demand at hosts that borrow from it. */
type ClientDemand = {
	/** Takes in a client's total demand on a budget; returns what is new of it, in tokens. */
	readonly note: (client: string, budget: string, total: number) => number;
};

/** Creates the record of clients' demand. The first total of a client counts whole. */
export const createClientDemand = (): ClientDemand => {
	const totals = new LRUCache<string, number>({max: maxEntries});
	return {
		note(client, budget, total) {
			const key = `${client}\n${budget}`;
			const known = totals.get(key) ?? 0;
			totals.set(key, Math.max(known, total));
			return Math.max(0, total - known);
		},
	};
};
