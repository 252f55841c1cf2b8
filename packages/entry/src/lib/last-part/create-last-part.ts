import {openReservations, viewStore, type BudgetRights} from '@deckwheel/ledger';
import {holdersOf} from '../rights-store/holders-of.js';
import {remainingTokens} from '../rights-store/remaining-tokens.js';
import {retiredHolder} from '../rights-store/retired-holder.js';
import type {Accounts} from '../rights/accounts.js';
import {demandRate} from '../rights/demand-rate.js';
import {createUrgencyRecord} from './create-urgency-record.js';
import {isAheadOfPace} from './is-ahead-of-pace.js';
import {isKeptForUrgent} from './is-kept-for-urgent.js';
import type {LastPart} from './last-part.js';
import type {Pace} from './pace.js';
import {planLasting} from './plan-lasting.js';
import {stepPace} from './step-pace.js';

type Options = {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly accounts: Accounts;
	/** The store's side of a budget as last seen; `undefined` at hosts that only borrow. */
	readonly rightsOf: (budget: string) => BudgetRights | undefined;
	/** When this life of the host began, in monotonic ms. */
	readonly startedAt: number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the task that keeps the last part of budgets for more urgent and for later requests. It owns the record of how urgent the
demand is, and how far this host is ahead of the pace on each budget.
*/
export const createLastPart = ({holder, accounts, rightsOf, startedAt, now}: Options): LastPart => {
	const urgency = createUrgencyRecord(now);
	const paces = new Map<string, Pace>();

	/** Whether what is left would be spent too fast. Where no life has ended yet, nobody was told that an answer was lost. */
	const isTooFast = (budget: string, tokens: number, rights: BudgetRights, left: number): boolean => {
		const lasting = planLasting(startedAt, now());
		if (lasting === 0 || rights.holders[retiredHolder] === undefined) {
			return false;
		}

		const holders = holdersOf(rights, holder);
		const rate = demandRate(accounts.of(budget));
		const {fleetTokensPerSecond, demandShare} = viewStore(rights, holder, rate);
		const pace = stepPace(paces.get(budget), {
			left, lasting, share: Math.max(demandShare, 1 / holders), now: now(),
		});
		paces.set(budget, pace);
		// Others that began a moment ago have not written their demand yet.
		return left < Math.max(fleetTokensPerSecond, rate * holders) * lasting && isAheadOfPace(pace, tokens);
	};

	return {
		keptFor(budget, tokens, priority) {
			const rights = rightsOf(budget);
			if (!rights) {
				return undefined;
			}

			const account = accounts.of(budget);
			const left = remainingTokens(rights, holder, account) - openReservations(rights);
			if (isTooFast(budget, tokens, rights, left)) {
				return 'later';
			}

			const {share: urgentShare, meanTokens: urgentTokens} = urgency.moreUrgent(budget, priority);
			// Where nobody more urgent asks, the record need not be summed up.
			const isKept = urgentShare > 0 && isKeptForUrgent({
				tokens, left, fleetRate: viewStore(rights, holder, demandRate(account)).fleetTokensPerSecond, urgentShare, urgentTokens,
			});
			return isKept ? 'urgent' : undefined;
		},
		note(budget, priority, tokens) {
			urgency.note(budget, priority, tokens);
			const pace = paces.get(budget);
			if (pace) {
				paces.set(budget, {...pace, allowed: pace.allowed - tokens});
			}
		},
	};
};
