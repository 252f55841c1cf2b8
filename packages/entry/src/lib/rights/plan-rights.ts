import {type HoldingPolicy, type StoreView, available} from '@deckwheel/ledger';
import {demandRate} from './demand-rate.js';
import type {HostAccount} from './host-account.js';

/** A host draws when it has less than this part of its target available, so that the store is not called for small amounts. */
const drawBelowPart = 0.5;

/** A host returns rights to the store when it has more than this many times its target available. */
const returnAboveFactor = 1.4;

/** A surplus of this size or less is not returned, in tokens: it is not worth a write to the store. */
const minReturnTokens = 2000;

/** What a host does about its rights on one budget; `give_back` returns tokens to the store. */
type RightsPlan =
	| {readonly type: 'keep'}
	| {readonly type: 'draw'}
	| {readonly type: 'give_back'; readonly tokens: number};

type Inputs = {
	readonly account: HostAccount;
	/** The store's view of the budget. */
	readonly store: StoreView;
	/** How many hosts hold rights on this budget. */
	readonly holders: number;
	readonly holdingPolicy: HoldingPolicy;
	/** Whether the limit of the budget fell below what the store has granted of it. Then no host may keep unspent rights. */
	readonly isOverGranted: boolean;
	/** Whether this host is an allocator of the budget. Other hosts draw for waiting requests only, and return what they drew and do not need. */
	readonly isAllocator: boolean;
	/** Whether the store is in reach. Rights that are returned while it is out of reach could be used by no host. */
	readonly isStoreUp: boolean;
};

/**
Decides whether a host draws rights on a budget from the store, returns some to it, or keeps what it has. Pure.

`deckwheeld` decides what it returns by `surplus` in `packages/ledger`, whose comment says why the two differ.
*/
export const planRights = ({account, store, holders, holdingPolicy, isOverGranted, isAllocator, isStoreUp}: Inputs): RightsPlan => {
	const availableTokens = available(account);
	if (isOverGranted) {
		return availableTokens > 0 ? {type: 'give_back', tokens: availableTokens} : {type: 'keep'};
	}

	const target = holdingPolicy({...store, tokensPerSecond: demandRate(account), holders});
	if (isAllocator && availableTokens < target * drawBelowPart && store.unallocated > 0) {
		return {type: 'draw'};
	}

	const surplus = Math.floor(availableTokens - target);
	return isStoreUp && availableTokens > target * returnAboveFactor && surplus > minReturnTokens ? {type: 'give_back', tokens: surplus} : {type: 'keep'};
};
