import type {HoldingPolicy} from '../holding-policy/holding-policy.js';
import type {StoreView} from '../store/store-view.js';
import type {Account} from './account.js';
import {available} from './available.js';

/** Tokens that a holder keeps above its tolerated target, since giving back less is not worth a write to the store. */
const marginTokens = 2000;

/** A holder may have this multiple of its target before it gives rights back, so that rights do not oscillate between halls. */
const toleratedRatio = 1.1;

type SurplusInputs = {
	readonly account: Account;
	readonly store: StoreView;
	readonly holdingPolicy: HoldingPolicy;
	readonly tokensPerSecond: number;
	readonly holders: number;
};

/**
Decides how many tokens a pair of `deckwheeld` gives back to the store: its available tokens beyond the target of its policy,
with a tolerance. Returns a whole number, 0 or more.

The entry host on a platform decides by `planRights` (`packages/entry`) instead: it tolerates more, since each of its writes
counts against the rate limit of the platform's store, and it gives nothing back while the store is unreachable.
*/
export const surplus = ({account, store, holdingPolicy, tokensPerSecond, holders}: SurplusInputs): number => {
	const target = holdingPolicy({tokensPerSecond, holders, ...store});
	return Math.max(0, Math.floor(available(account) - (target * toleratedRatio) - marginTokens));
};
