import type {ListedPeer} from '../../adapter/listed-peer.js';

/** What a host asks of peers. */
export type LoanQuestion = {
	readonly budget: string;
	readonly tokens: number;
	/** How urgent the most urgent request is that waits for it, 0 the most, and what it needs; `undefined` where nothing is kept from it. */
	readonly rank?: {readonly priority: number; readonly tokens: number};
	/** Tokens ever demanded by requests of this host. */
	readonly demanded: number;
	/** In the order in which they are asked. */
	readonly peers: readonly ListedPeer[];
	/** Until when peers are asked, in monotonic ms; without it, each may take its time. */
	readonly deadline?: number;
	readonly isEnough: () => boolean;
};
