import {openReservations, viewStore, type BudgetRights} from '@deckwheel/ledger';
import {countHolders} from '../rights-store/count-holders.js';
import {remainingTokens} from '../rights-store/remaining-tokens.js';
import type {Accounts} from '../rights/accounts.js';
import {demandRate} from '../rights/demand-rate.js';
import {createUrgencyRecord} from './create-urgency-record.js';
import {isAfterDeaths} from './is-after-deaths.js';
import {isAheadOfPace} from './is-ahead-of-pace.js';
import {isKeptForUrgent} from './is-kept-for-urgent.js';
import type {BudgetPacer} from './budget-pacer.js';
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

/** What a host knows of the last part of a budget. Tokens, and tokens a second. */
type LeftOfBudget = {
	/** What is neither spent nor set aside for open requests of any host, by the newest record. */
	readonly left: number;
	/** The demand at this host. */
	readonly rate: number;
	/** The demand at all hosts, as far as they have written it. */
	readonly fleetRate: number;
	/** This host's part of that, 0 to 1. */
	readonly demandShare: number;
	/** Hosts that hold rights. */
	readonly holders: number;
};

/**
Creates the task that keeps the last part of budgets for more urgent and for later requests. It owns the record of how urgent the
demand is, and how far this host is ahead of the pace on each budget.
*/
export const createBudgetPacer = ({holder, accounts, rightsOf, startedAt, now}: Options): BudgetPacer => {
	const urgency = createUrgencyRecord(now);
	const paces = new Map<string, Pace>();

	const isTooFast = (budget: string, tokens: number, lasting: number, {left, rate, fleetRate, demandShare, holders}: LeftOfBudget): boolean => {
		const pace = stepPace(paces.get(budget), {
			left, lasting, share: Math.max(demandShare, 1 / holders), now: now(),
		});
		paces.set(budget, pace);
		// Others that began a moment ago have not written their demand yet.
		const isLasting = left >= Math.max(fleetRate, rate * holders) * lasting;
		return !isLasting && isAheadOfPace(pace, tokens);
	};

	const viewLeft = (budget: string, rights: BudgetRights): LeftOfBudget => {
		const account = accounts.get(budget);
		const rate = demandRate(account);
		const {fleetTokensPerSecond, demandShare} = viewStore(rights, holder, rate);
		return {
			left: remainingTokens(rights, holder, account) - openReservations(rights),
			rate,
			fleetRate: fleetTokensPerSecond,
			demandShare,
			holders: countHolders(rights, holder),
		};
	};

	return {
		keptFor(budget, tokens, priority) {
			const rights = rightsOf(budget);
			const lasting = planLasting(startedAt, now());
			const {share: urgentShare, meanTokens: urgentTokens} = urgency.moreUrgent(budget, priority);
			// Mostly there is nobody to keep anything for, and the record need not be summed up.
			if (!rights || (lasting === 0 && urgentShare === 0)) {
				return undefined;
			}

			const view = viewLeft(budget, rights);
			if (lasting > 0 && isAfterDeaths(rights, view.left) && isTooFast(budget, tokens, lasting, view)) {
				return 'later';
			}

			const isKept = isKeptForUrgent({
				tokens, left: view.left, fleetRate: view.fleetRate, urgentShare, urgentTokens,
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
