import type {HolderRights} from './holder-rights.js';
import type {StoreView} from './store-view.js';

/** One budget in a holder's write to the store: the holder's own totals in tokens, and how many more tokens it asks for. */
export type DrawRequest = {
	readonly budget: string;
	/** The total granted to the holder, as both hosts of its pair hold it. */
	readonly granted: number;
	/** Received from other holders, less what was given to them. */
	readonly transferred: number;
	readonly settled: number;
	/** Tokens a second that the holder reserved recently. */
	readonly rate: number;
	readonly billed: number;
	/** The worst-case cost of the holder's open requests; absent when the holder does not report it. */
	readonly reserved?: number;
	/** The number of this write among the holder's writes, and the store's era; absent when the holder does not report it. */
	readonly written?: HolderRights['written'];
	/** Decides how many tokens to draw from the state of the budget in the store. */
	readonly wants: (store: StoreView) => number;
};
