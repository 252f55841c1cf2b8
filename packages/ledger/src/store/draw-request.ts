import type {HolderRights} from './holder-rights.js';
import type {StoreView} from './store-view.js';

/** One budget in a holder's write to the store: what the holder knows, and what more it wants. */
export type DrawRequest = {
	readonly budget: string;
	/** The holder's own total, as both of its hosts hold it. */
	readonly granted: number;
	readonly transferred: number;
	readonly settled: number;
	/** Tokens a second reserved lately. */
	readonly rate: number;
	readonly billed: number;
	/** The worst case of open requests; a holder need not tell it. */
	readonly reserved?: number;
	/** Which write of the holder this is; a holder need not tell it. */
	readonly written?: HolderRights['written'];
	/** Decides the draw once the store's side is known. */
	readonly wants: (store: StoreView) => number;
};
