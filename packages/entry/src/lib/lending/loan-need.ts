import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {RightsSource} from '../rights/rights-source.js';

/** The rights that a request needs and this host lacks, and the peers to be asked for them. */
export type LoanNeed = {
	readonly budget: string;
	/** All tokens that the request needs, those that this host has available included. */
	readonly tokens: number;
	/** How urgent the request is; 0 is the most urgent. `undefined` if no rights are kept from the request for others. */
	readonly priority?: number;
	/** Which hosts the peers are. A loan that was requested from the same source while this request waited counts for this request too. */
	readonly source: Exclude<RightsSource, 'store'>;
	/** In the order in which they are asked. */
	readonly peers: readonly ListedPeer[];
	/** Until when peers are asked, in monotonic ms; without it, only the timeout of each reply applies. */
	readonly deadline?: number;
};
