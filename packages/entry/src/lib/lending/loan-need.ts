import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {RightsSource} from '../rights/rights-source.js';

/** Rights that a request lacks, and who is to be asked for them. */
export type LoanNeed = {
	readonly budget: string;
	readonly tokens: number;
	/** How urgent the request is, 0 the most; `undefined` where nothing is kept from it. */
	readonly priority?: number;
	/** What the peers are. A question to the same source that was asked while this request waited counts for it. */
	readonly source: Exclude<RightsSource, 'store'>;
	/** In the order in which they are asked. */
	readonly peers: readonly ListedPeer[];
	/** Until when peers are asked, in monotonic ms; without it, each may take its time. */
	readonly deadline?: number;
};
