import {
	drawAmount, type BudgetRights, type HoldingPolicy, type StoreView,
} from '@deckwheel/ledger';
import {countHolders} from '../rights-store/count-holders.js';
import {remainingTokens} from '../rights-store/remaining-tokens.js';
import {demandRate} from './demand-rate.js';
import type {HostAccount} from './host-account.js';

type Inputs = {
	readonly account: HostAccount;
	/** Tokens that the host may still reserve. */
	readonly available: number;
	/** What waiting requests lack, in tokens. */
	readonly missing: number;
	/** The store's side of the budget, with this host's own demand. */
	readonly view: StoreView;
	readonly rights: BudgetRights;
	readonly holder: string;
	readonly holdingPolicy: HoldingPolicy;
	/** Whether nothing is to be drawn now. */
	readonly isPaused: boolean;
};

/** Decides how many tokens of a budget a write to the store draws. Pure. May be negative; the ledger keeps it within 0 and the rest. */
export const planDrawAmount = ({account, available, missing, view, rights, holder, holdingPolicy, isPaused}: Inputs): number => {
	if (isPaused) {
		return 0;
	}

	const target = holdingPolicy({
		...view,
		remaining: remainingTokens(rights, holder, account),
		tokensPerSecond: demandRate(account),
		holders: countHolders(rights, holder),
	});
	return drawAmount({target, available, missing});
};
