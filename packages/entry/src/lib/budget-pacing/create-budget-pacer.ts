import {openReservations, viewStore, type BudgetRights} from '@deckwheel/ledger';
import {countHolders} from '../rights-store/count-holders.js';
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
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	readonly accounts: Accounts;
	/** The store's record of a budget as this host last read it; `undefined` at hosts that only borrow rights. */
	readonly rightsOf: (budget: string) => BudgetRights | undefined;
	/** When this incarnation of the host started, in monotonic ms. */
	readonly startedAt: number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** What a host knows of the rest of a budget. Amounts are tokens, rates are tokens per second. */
type RemainingBudget = {
	/** Tokens that are neither spent nor reserved for open requests of any host, by the newest record of the store. */
	readonly uncommitted: number;
	/** The demand at this host. */
	readonly rate: number;
	/** The demand at all hosts, as far as they have written it to the store. */
	readonly fleetRate: number;
	/** This host's part of `fleetRate`, 0 to 1. */
	readonly demandShare: number;
	/** How many hosts hold rights on the budget. */
	readonly holders: number;
};

/**
Creates the budget pacer of a host, which keeps what is left of nearly used-up budgets for more urgent and for later requests. It owns the
record of how urgent the demand is (`createUrgencyRecord`) and this host's pace on each budget (`stepPace`).
*/
export const createBudgetPacer = ({holder, accounts, rightsOf, startedAt, now}: Options): BudgetPacer => {
	const urgency = createUrgencyRecord(now);
	const paces = new Map<string, Pace>();

	const isAheadOfBudgetPace = (budget: string, tokens: number, spreadSeconds: number, {uncommitted, rate, fleetRate, demandShare, holders}: RemainingBudget): boolean => {
		const pace = stepPace(paces.get(budget), {
			uncommitted, spreadSeconds, demandShare: Math.max(demandShare, 1 / holders), now: now(),
		});
		paces.set(budget, pace);
		// Other hosts that have just started have not written their demand yet, so this host's demand is taken as theirs.
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
			holders: countHolders(rights, holder),
		};
	};

	return {
		keptFor(budget, tokens, priority) {
			const rights = rightsOf(budget);
			const spreadSeconds = planSpreadSeconds(startedAt, now());
			const {share: urgentShare, meanTokens: urgentMeanTokens} = urgency.moreUrgentDemand(budget, priority);
			// In most cases there are no requests to keep tokens for. The record then need not be summed up.
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
