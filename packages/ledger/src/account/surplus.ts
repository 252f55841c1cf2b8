import type {HoldingPolicy} from '../holding-policy/holding-policy.js';
import type {StoreView} from '../store/store-view.js';
import type {Account} from './account.js';
import {available} from './available.js';

/** Rights this small are not worth a give-back, in tokens. */
const keepTokens = 2000;

/** How far above its target a holder may be before it gives back, so that rights do not swing between halls. */
const tolerance = 1.1;

type SurplusInputs = {
	readonly account: Account;
	readonly store: StoreView;
	readonly holdingPolicy: HoldingPolicy;
	readonly tokensPerSecond: number;
	readonly holders: number;
};

/**
Decides how many tokens a pair of `deckwheeld` gives back to the store: what it has beyond what its policy would hold.

The entry host on a platform decides by `planRights` (`packages/entry`): it tolerates more, since each of its writes
counts against the rates of the platform's store, and it gives nothing back while the store is out of reach.
*/
export const surplus = ({account, store, holdingPolicy, tokensPerSecond, holders}: SurplusInputs): number => {
	const target = holdingPolicy({tokensPerSecond, holders, ...store});
	return Math.max(0, Math.floor(available(account) - (target * tolerance) - keepTokens));
};
