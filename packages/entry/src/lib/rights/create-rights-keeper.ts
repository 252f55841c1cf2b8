import {holdAheadByRate, slotOfBudget} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {Timeouts} from '../../timeouts.js';
import {createAllocators} from '../lending/create-allocators.js';
import {createBorrower} from '../lending/create-borrower.js';
import {createLender} from '../lending/create-lender.js';
import type {LoanClient} from '../lending/loan-client.js';
import type {PeerLinks} from '../peers/peer-links.js';
import {createDrawQueue} from '../rights-store/create-draw-queue.js';
import {createShortageLog} from '../rights-store/create-shortage-log.js';
import {createSlotWriter} from '../rights-store/create-slot-writer.js';
import {createStoreState} from '../rights-store/create-store-state.js';
import {slotCount} from '../rights-store/slot-count.js';
import {createLastPart} from '../last-part/create-last-part.js';
import {createRestoreRecovery} from '../rights-store/create-restore-recovery.js';
import type {BudgetLimits} from './budget-limits.js';
import {createAccounts} from './create-accounts.js';
import {createRightsObtainer} from './create-rights-obtainer.js';
import {holdAheadSettings} from './hold-ahead-settings.js';
import {planDrawAmount} from './plan-draw-amount.js';
import {planHorizon} from './plan-horizon.js';
import {planRetryAfter} from './plan-retry-after.js';
import type {RightsKeeper} from './rights-keeper.js';
import {startRightsBalance} from './start-rights-balance.js';

type Options = {
	readonly host: string;
	/** The name of this life of the host. */
	readonly holder: string;
	readonly store: RightsStore;
	readonly loanClient: LoanClient;
	readonly links: () => Pick<PeerLinks, 'hallPeers' | 'hallSize' | 'isSettled' | 'peerOf'>;
	readonly timeouts: Timeouts;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Starts the task that owns this host's rights: puts together who gets them for requests (`createRightsObtainer`), lends them
(`createLender`), writes them to the store (`createSlotWriter`) and moves them ahead of demand (`startRightsBalance`).
*/
export const createRightsKeeper = ({host, holder, store, loanClient, links, timeouts, log, now}: Options): RightsKeeper => {
	const accounts = createAccounts();
	const state = createStoreState(log, now);
	let limits: BudgetLimits = {version: 0, byBudget: new Map()};
	let isRetiring = false;
	const lastPart = createLastPart({
		holder, accounts, rightsOf: budget => writer.rightsOf(budget), startedAt: now(), now,
	});
	const shortageLog = createShortageLog({
		rightsOf: budget => writer.rightsOf(budget), ageOf: budget => writer.ageOf(budget), log, now,
	});
	let largestRequest = 0;
	const holdAhead = holdAheadByRate(holdAheadSettings, () => largestRequest, () => planHorizon(state.upSince(), now(), holdAheadSettings.horizonSeconds));

	const allocators = createAllocators({holder, links, slotOf: budget => slotOfBudget(budget, slotCount)});
	const borrower = createBorrower({
		accounts, loanClient, allocatorsOf: allocators.others, log, now,
	});
	const writer = createSlotWriter({
		host,
		holder,
		store,
		state,
		accounts,
		limits: () => limits,
		isConcerned: budget => accounts.of(budget).granted !== 0 || queue.missing(budget) > 0 || allocators.drawsAhead(budget),
		wants: budget => (view, rights) => planDrawAmount({
			account: accounts.of(budget), available: accounts.available(budget), missing: queue.missing(budget), view, rights, holder, holdAhead, isPaused: isRetiring || recovery.isDrawPaused(),
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
	const balance = startRightsBalance({
		holder, accounts, allocators, borrower, writer, state, holdAhead, log, now,
		budgets: () => limits.byBudget.keys(),
		isSettled: () => links().isSettled(),
		isRetiring: () => isRetiring,
		isDrawPaused: recovery.isDrawPaused,
	});
	const obtainer = createRightsObtainer({
		holder, accounts, allocators, borrower, writer, queue, balance, timeouts, now,
		peerOf: name => links().peerOf(name),
		isRetiring: () => isRetiring,
	});
	const lend = createLender({
		accounts, allocators, obtainer, lastPart, isStoreUp: state.isUp, isRetiring: () => isRetiring, log,
	});

	const credit = (event: string, budget: string, from: string, total: number): void => {
		const before = accounts.available(budget);
		accounts.step(budget, {type: 'received', from, total});
		log(event, {from, budget, tokens: accounts.available(budget) - before});
	};

	const giveAllBack = async (slot: number): Promise<void> => {
		await writer.idle(slot);
		for (const budget of accounts.budgets().filter(name => writer.slotOf(name) === slot)) {
			accounts.step(budget, {type: 'granted', total: accounts.of(budget).granted - accounts.available(budget)});
		}

		await writer.flush(slot);
	};

	return {
		configure({version, organisationsByKey}) {
			const limited = [...organisationsByKey.values()].filter(({limit}) => limit !== undefined);
			limits = {version, byBudget: new Map(limited.map(({name, limit}) => [name, limit!]))};
		},
		async reserve(budget, tokens, deadline, priority) {
			largestRequest = Math.max(largestRequest, tokens);
			const keptFor = priority === undefined ? undefined : lastPart.keptFor(budget, tokens, priority);
			if (keptFor) {
				const isExhausted = obtainer.isExhausted(budget, tokens);
				const refused = isExhausted ? 'exhausted' : 'kept';
				shortageLog.note(budget, isExhausted ? refused : `kept_for_${keptFor}`);
				return refused;
			}

			const outcome = await obtainer.obtain({
				budget, tokens, deadline, priority,
			});
			// Refused requests come back; counted each time, they would make the demand look many times larger.
			if (outcome === 'reserved') {
				accounts.step(budget, {type: 'demanded', by: 'own_request', tokens});
				if (priority !== undefined) {
					lastPart.note(budget, priority, tokens);
				}
			} else {
				shortageLog.note(budget, outcome);
			}

			return outcome;
		},
		settle(budget, reserved, used) {
			accounts.step(budget, {type: 'settled', reserved, used});
		},
		lend,
		receivedFrom: (budget, from) => accounts.of(budget).received.get(from) ?? 0,
		receive(budget, from, total) {
			credit('rights_borrowed', budget, from, total);
		},
		takeBack(budget, from, total) {
			credit('rights_taken_back', budget, from, total);
		},
		noteRestored: recovery.noteRestored,
		retryAfterSeconds: () => planRetryAfter(state.downMs()),
		async retire() {
			isRetiring = true;
			const slots = new Set(accounts.budgets().map(budget => writer.slotOf(budget)));
			await Promise.all([...slots].map(async slot => giveAllBack(slot)));
		},
		close() {
			recovery.close();
			balance.close();
		},
	};
};
