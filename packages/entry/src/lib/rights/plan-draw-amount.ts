import {
	drawAmount, type BudgetRights, type HoldingPolicy, type StoreView,
} from '@deckwheel/ledger';
import {keptTokens} from '../lending/kept-tokens.js';
import {countHolders} from '../rights-store/count-holders.js';
import {remainingTokens} from '../rights-store/remaining-tokens.js';
import {demandRate} from './demand-rate.js';
import type {HostAccount} from './host-account.js';

type Inputs = {
	readonly account: HostAccount;
	/** Tokens that the host may still reserve. */
	readonly available: number;
	/** What requests that wait for a draw lack beyond `available`, in tokens. */
	readonly missing: number;
	/** The store's view of the budget, with this host's current demand. */
	readonly view: StoreView;
	/** The store's record of the budget. */
	readonly rights: BudgetRights;
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	readonly holdingPolicy: HoldingPolicy;
	/** Whether this host is an allocator of the budget. Another host draws only while no allocator lends to it. */
	readonly isAllocator: boolean;
	/** Whether this host draws nothing now: while it shuts down, or for a time after the store was restored from an older copy. */
	readonly isDrawPaused: boolean;
};

/**
Decides how many tokens of a budget a write to the store draws. Pure. The result may be negative or more than the store has left;
`planDraw` in `packages/ledger` limits it to what can be drawn.
*/
export const planDrawAmount = ({account, available, missing, view, rights, holder, holdingPolicy, isAllocator, isDrawPaused}: Inputs): number => {
	if (isDrawPaused) {
		return 0;
	}

	const tokensPerSecond = demandRate(account);
	const target = holdingPolicy({
		...view, remaining: remainingTokens(rights, holder, account), tokensPerSecond, holders: countHolders(rights, holder),
	});
	const mostKept = isAllocator ? target : keptTokens({rate: tokensPerSecond, tokens: missing});
	return drawAmount({target: Math.min(target, mostKept), available, missing});
};
