import type {ListedPeer} from '../listed-peer.js';

/** Asks peers for rights. */
export type Lenders = {
	/**
	Asks peers in turn until `isEnough`, those first who are believed to hold most.

	@param peers In the order in which they are asked.
	*/
	readonly borrow: (budget: string, tokens: number, peers: readonly ListedPeer[], isEnough: () => boolean) => Promise<void>;
	/** Tells a peer what this host ever gave it in total. */
	readonly handBack: (address: string, budget: string, total: number) => void;
};
