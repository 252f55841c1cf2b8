import {openReservations, viewStore, type BudgetRights} from '@deckwheel/ledger';
import {holdersOf} from '../rights-store/holders-of.js';
import {remainingTokens} from '../rights-store/remaining-tokens.js';
import type {Accounts} from '../rights/accounts.js';
import {demandRate} from '../rights/demand-rate.js';
import {createUrgencyRecord} from './create-urgency-record.js';
import {isAfterCrashes} from './is-after-crashes.js';
import {isAheadOfPace} from './is-ahead-of-pace.js';
import {isKeptForUrgent} from './is-kept-for-urgent.js';
import type {BudgetPacer} from './budget-pacer.js';
import type {Pace} from './pace.js';
import {planSpreadSeconds} from './plan-spread-seconds.js';
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
type RemainingBudget = {
	/** What is neither spent nor set aside for open requests of any host, by the newest record. */
	readonly uncommitted: number;
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

	const isAheadOfBudgetPace = (budget: string, tokens: number, spreadSeconds: number, {uncommitted, rate, fleetRate, demandShare, holders}: RemainingBudget): boolean => {
		const pace = stepPace(paces.get(budget), {
			uncommitted, spreadSeconds, demandShare: Math.max(demandShare, 1 / holders), now: now(),
		});
		paces.set(budget, pace);
		// Others that began a moment ago have not written their demand yet.
		const isEnough = uncommitted >= Math.max(fleetRate, rate * holders) * spreadSeconds;
		return !isEnough && isAheadOfPace(pace, tokens);
	};

	const viewRemaining = (budget: string, rights: BudgetRights): RemainingBudget => {
		const account = accounts.get(budget);
		const rate = demandRate(account);
		const {fleetTokensPerSecond, demandShare} = viewStore(rights, holder, rate);
		return {
			uncommitted: remainingTokens(rights, holder, account) - openReservations(rights),
			rate,
			fleetRate: fleetTokensPerSecond,
			demandShare,
			holders: holdersOf(rights, holder),
		};
	};

	return {
		keptFor(budget, tokens, priority) {
			const rights = rightsOf(budget);
			const spreadSeconds = planSpreadSeconds(startedAt, now());
			const {share: urgentShare, meanTokens: urgentMeanTokens} = urgency.moreUrgentDemand(budget, priority);
			// Mostly there is nobody to keep anything for, and the record need not be summed up.
			if (!rights || (spreadSeconds === 0 && urgentShare === 0)) {
				return undefined;
			}

			const view = viewRemaining(budget, rights);
			if (spreadSeconds > 0 && isAfterCrashes(rights, view.uncommitted) && isAheadOfBudgetPace(budget, tokens, spreadSeconds, view)) {
				return 'later';
			}

			const isKept = isKeptForUrgent({
				tokens, uncommitted: view.uncommitted, fleetRate: view.fleetRate, urgentShare, urgentMeanTokens,
			});
			return isKept ? 'urgent' : undefined;
		},
		note(budget, priority, tokens) {
			urgency.note(budget, priority, tokens);
			const pace = paces.get(budget);
			if (pace) {
				paces.set(budget, {...pace, allowance: pace.allowance - tokens});
			}
		},
	};
};
