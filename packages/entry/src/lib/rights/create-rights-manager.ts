import {holdingPolicyByRate, slotOfBudget} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {Timeouts} from '../../timeouts.js';
import {createAllocators} from '../lending/create-allocators.js';
import {createBorrower} from '../lending/create-borrower.js';
import {createLender} from '../lending/create-lender.js';
import {createLoanPauses} from '../lending/create-loan-pauses.js';
import type {LoanClient} from '../lending/loan-client.js';
import type {ReportedLeft} from '../lending/reported-left.js';
import type {PeerLinks} from '../peers/peer-links.js';
import {createDrawQueue} from '../rights-store/create-draw-queue.js';
import {createShortageLog} from '../rights-store/create-shortage-log.js';
import {createSlotWriter} from '../rights-store/create-slot-writer.js';
import {createStoreState} from '../rights-store/create-store-state.js';
import {slotCount} from '../rights-store/slot-count.js';
import {createBudgetPacer} from '../budget-pacing/create-budget-pacer.js';
import {createRestoreRecovery} from '../rights-store/create-restore-recovery.js';
import type {BudgetLimits} from './budget-limits.js';
import {createAccounts} from './create-accounts.js';
import {createRightsAcquirer} from './create-rights-acquirer.js';
import {holdingPolicySettings} from './holding-policy-settings.js';
import {maxProofAgeMs} from './max-proof-age-ms.js';
import {mostTokensLeft} from './most-tokens-left.js';
import {planDrawAmount} from './plan-draw-amount.js';
import {planHorizon} from './plan-horizon.js';
import {planRetryAfter} from './plan-retry-after.js';
import type {RightsManager} from './rights-manager.js';
import {startRightsBalancer} from './start-rights-balancer.js';

type Options = {
	readonly host: string;
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	readonly store: RightsStore;
	readonly loanClient: LoanClient;
	readonly links: () => Pick<PeerLinks, 'hallPeers' | 'hallSize' | 'isPeerListKnown' | 'peerOf'>;
	readonly timeouts: Timeouts;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the rights manager of a host, which owns the host's rights. Its parts acquire rights for requests (`createRightsAcquirer`), lend
rights to peers (`createLender`), write them to the store (`createSlotWriter`), and draw or return rights by the expected demand
(`startRightsBalancer`).
*/
export const createRightsManager = ({host, holder, store, loanClient, links, timeouts, log, now}: Options): RightsManager => {
	const accounts = createAccounts();
	const state = createStoreState(log, now);
	let limits: BudgetLimits = {version: 0, byBudget: new Map()};
	let isRetiring = false;
	const budgetPacer = createBudgetPacer({
		holder, accounts, rightsOf: budget => writer.rightsOf(budget), startedAt: now(), now,
	});
	const shortageLog = createShortageLog({
		rightsOf: budget => writer.rightsOf(budget), rightsAgeMs: budget => writer.rightsAgeMs(budget), log, now,
	});
	let largestRequest = 0;
	const holdingPolicy = holdingPolicyByRate(holdingPolicySettings, () => largestRequest, () => planHorizon(state.upSince(), now(), holdingPolicySettings.horizonSeconds));

	const allocators = createAllocators({holder, links, slotOf: budget => slotOfBudget(budget, slotCount)});
	const loanPauses = createLoanPauses(now);
	const borrower = createBorrower({
		accounts, loanClient, loanPauses, allocatorsOf: allocators.others, log, now,
	});
	const writer = createSlotWriter({
		host,
		holder,
		store,
		state,
		accounts,
		limits: () => limits,
		isEntryNeeded: budget => accounts.get(budget).granted !== 0 || queue.missing(budget) > 0 || allocators.drawsAhead(budget),
		drawAmountOf: budget => (view, rights) => planDrawAmount({
			account: accounts.get(budget), available: accounts.available(budget), missing: queue.missing(budget), view, rights, holder, holdingPolicy,
			isAllocator: allocators.isAllocator(budget), isDrawPaused: isRetiring || recovery.isDrawPaused(),
		}),
		onRestored() {
			recovery.noteRestored();
		},
		log,
		now,
	});

	const recovery = createRestoreRecovery({
		accounts, writer, log, now,
	});
	const queue = createDrawQueue({accounts, writer: () => writer, now});
	const balancer = startRightsBalancer({
		holder, accounts, allocators, borrower, loanPauses, writer, state, holdingPolicy, log, now,
		budgets: () => limits.byBudget.keys(),
		isPeerListKnown: () => links().isPeerListKnown(),
		isRetiring: () => isRetiring,
		isDrawPaused: recovery.isDrawPaused,
	});
	const acquirer = createRightsAcquirer({
		holder, accounts, allocators, borrower, loanPauses, writer, queue, balancer, timeouts, now,
		peerOf: name => links().peerOf(name),
		limitsVersion: () => limits.version,
		isRetiring: () => isRetiring,
	});
	const leftOf = (budget: string): ReportedLeft | undefined => {
		const rights = writer.rightsOf(budget);
		const ageMs = writer.rightsAgeMs(budget);
		return rights && ageMs < maxProofAgeMs(balancer.isStorePaused(budget))
			? {
				tokens: mostTokensLeft({
					rights, holder, account: accounts.get(budget), hasClients: allocators.hasClients(budget),
				}),
				ageMs,
				version: limits.version,
			}
			: undefined;
	};

	const lend = createLender({
		accounts, allocators, acquirer, budgetPacer, isStoreUp: state.isUp, leftOf, isRetiring: () => isRetiring, log,
	});

	const creditReceived = (event: string, budget: string, from: string, total: number): void => {
		const before = accounts.available(budget);
		accounts.apply(budget, {type: 'received', from, total});
		log(event, {from, budget, tokens: accounts.available(budget) - before});
	};

	const returnSlotRights = async (slot: number): Promise<void> => {
		await writer.untilIdle(slot);
		for (const budget of accounts.budgets().filter(name => writer.slotOf(name) === slot)) {
			accounts.apply(budget, {type: 'granted', total: accounts.get(budget).granted - accounts.available(budget)});
		}

		await writer.flush(slot);
	};

	return {
		configure({version, organisationsByKey}) {
			const limited = [...organisationsByKey.values()].filter(({limit}) => limit !== undefined);
			const before = limits.byBudget;
			limits = {version, byBudget: new Map(limited.map(({name, limit}) => [name, limit!]))};
			for (const [budget, limit] of limits.byBudget) {
				if (limit > (before.get(budget) ?? 0)) {
					loanPauses.end(budget);
				}
			}
		},
		async reserve(budget, tokens, deadline, priority) {
			largestRequest = Math.max(largestRequest, tokens);
			const keptFor = priority === undefined ? undefined : budgetPacer.keptFor(budget, tokens, priority);
			if (keptFor) {
				const isExhausted = acquirer.isExhausted(budget, tokens);
				const refusal = isExhausted ? 'exhausted' : 'kept';
				shortageLog.note(budget, isExhausted ? refusal : `kept_for_${keptFor}`);
				return refusal;
			}

			const outcome = await acquirer.acquire({
				budget, tokens, deadline, priority,
			});
			// Callers retry refused requests. Counted at each attempt, these would make the demand look many times larger than it is.
			if (outcome === 'reserved') {
				accounts.apply(budget, {type: 'demanded', by: 'own_request', tokens});
				if (priority !== undefined) {
					budgetPacer.note(budget, priority, tokens);
				}
			} else {
				shortageLog.note(budget, outcome);
			}

			return outcome;
		},
		settle(budget, reserved, used) {
			accounts.apply(budget, {type: 'settled', reserved, used});
		},
		lend,
		receivedFrom: (budget, from) => accounts.get(budget).received.get(from) ?? 0,
		receive(budget, from, total) {
			creditReceived('rights_borrowed', budget, from, total);
		},
		takeBack(budget, from, total) {
			creditReceived('rights_taken_back', budget, from, total);
		},
		noteRestored: recovery.noteRestored,
		retryAfterSeconds: () => planRetryAfter(state.downMs()),
		async retire() {
			isRetiring = true;
			const slots = new Set(accounts.budgets().map(budget => writer.slotOf(budget)));
			await Promise.all([...slots].map(async slot => returnSlotRights(slot)));
		},
		close() {
			recovery.close();
			balancer.close();
		},
	};
};
