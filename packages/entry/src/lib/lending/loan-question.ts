import type {ListedPeer} from '../../adapter/listed-peer.js';

/** What a host asks of peers. */
export type LoanQuestion = {
	readonly budget: string;
	readonly tokens: number;
	/** Tokens ever demanded by requests of this host. */
	readonly demanded: number;
	/** In the order in which they are asked. */
	readonly peers: readonly ListedPeer[];
	/** How long all questions together may take, in ms. */
	readonly patienceMs?: number;
	readonly isEnough: () => boolean;
};
