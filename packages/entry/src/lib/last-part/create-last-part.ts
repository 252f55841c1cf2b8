import {openReservations, viewStore, type BudgetRights} from '@deckwheel/ledger';
import {remainingTokens} from '../rights-store/remaining-tokens.js';
import type {Accounts} from '../rights/accounts.js';
import {demandRate} from '../rights/demand-rate.js';
import {createUrgencyRecord} from './create-urgency-record.js';
import {isKeptForUrgent} from './is-kept-for-urgent.js';
import type {LastPart} from './last-part.js';

type Options = {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly accounts: Accounts;
	/** The store's side of a budget as last seen; `undefined` at hosts that only borrow. */
	readonly rightsOf: (budget: string) => BudgetRights | undefined;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the task that keeps the last part of budgets for more urgent requests. It owns the record of how urgent the demand is. */
export const createLastPart = ({holder, accounts, rightsOf, now}: Options): LastPart => {
	const urgency = createUrgencyRecord(now);
	return {
		isKept(budget, tokens, priority) {
			const {share: urgentShare, meanTokens: urgentTokens} = urgency.moreUrgent(budget, priority);
			const rights = rightsOf(budget);
			// Where nobody more urgent asks, the record need not be summed up.
			if (!rights || urgentShare === 0) {
				return false;
			}

			const account = accounts.of(budget);
			return isKeptForUrgent({
				tokens,
				left: remainingTokens(rights, holder, account) - openReservations(rights),
				fleetRate: viewStore(rights, holder, demandRate(account)).fleetTokensPerSecond,
				urgentShare,
				urgentTokens,
			});
		},
		note: urgency.note,
	};
};
