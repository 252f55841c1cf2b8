import {type HoldingPolicy, type StoreView, available} from '@deckwheel/ledger';
import {demandRate} from './demand-rate.js';
import type {HostAccount} from './host-account.js';

/** A draw is made when less than this part of the target is left, so that the store is not called for trifles. */
const refillBelow = 0.5;

/** Rights are given back when there are this many times the target. */
const giveBackAbove = 1.4;

/** Rights this small are not worth a give-back, in tokens. */
const keepTokens = 2000;

/** What a host does about its rights on one budget. */
type RightsPlan =
	| {readonly type: 'keep'}
	| {readonly type: 'draw'}
	| {readonly type: 'give_back'; readonly tokens: number};

type Inputs = {
	readonly account: HostAccount;
	readonly store: StoreView;
	/** Hosts that hold rights on this budget. */
	readonly holders: number;
	readonly holdingPolicy: HoldingPolicy;
	/** Whether the limit fell below what was granted: then nobody may keep unspent rights. */
	readonly isOverGranted: boolean;
	/** Rights that leave this host while the store is out of reach would be of use to nobody. */
	readonly isStoreUp: boolean;
};

/**
Decides whether a host's rights on a budget should grow or shrink. Pure.

`deckwheeld` decides give-backs by `surplus` in ledger, which says why the two differ.
*/
export const planRights = ({account, store, holders, holdingPolicy, isOverGranted, isStoreUp}: Inputs): RightsPlan => {
	const free = available(account);
	if (isOverGranted) {
		return free > 0 ? {type: 'give_back', tokens: free} : {type: 'keep'};
	}

	const target = holdingPolicy({...store, tokensPerSecond: demandRate(account), holders});
	if (free < target * refillBelow && store.unallocated > 0) {
		return {type: 'draw'};
	}

	const surplus = Math.floor(free - target);
	return isStoreUp && free > target * giveBackAbove && surplus > keepTokens ? {type: 'give_back', tokens: surplus} : {type: 'keep'};
};
