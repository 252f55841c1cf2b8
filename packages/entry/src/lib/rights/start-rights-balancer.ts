import {unallocated, type HoldingPolicy} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import type {Allocators} from '../lending/allocators.js';
import type {Borrower} from '../lending/borrower.js';
import type {LoanPauses} from '../lending/loan-pauses.js';
import {countHolders} from '../rights-store/count-holders.js';
import type {SlotWriter} from '../rights-store/slot-writer.js';
import type {StoreState} from '../rights-store/store-state.js';
import {viewRights} from '../rights-store/view-rights.js';
import {adjustStaleView} from '../rights-store/adjust-stale-view.js';
import {maxViewAgeMs} from '../rights-store/max-view-age-ms.js';
import type {RightsBalancer} from './rights-balancer.js';
import {mayDraw} from './may-draw.js';
import {planRights} from './plan-rights.js';
import {demandRate} from './demand-rate.js';
import type {Accounts} from './accounts.js';

/** How often a host's rights are checked, in ms. */
const checkIntervalMs = 500;

/** The least time between two writes of a slot for which no request waits, in ms. It limits the calls to the store. */
const minWriteIntervalMs = 1500;

type Options = {
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	readonly accounts: Accounts;
	readonly allocators: Allocators;
	readonly borrower: Borrower;
	readonly loanPauses: LoanPauses;
	readonly writer: SlotWriter;
	readonly state: StoreState;
	readonly holdingPolicy: HoldingPolicy;
	/** The budgets that have a limit in the configuration. */
	readonly budgets: () => Iterable<string>;
	/** Whether this host knows the list of its peers: hosts that start together need some time to be listed. */
	readonly isPeerListKnown: () => boolean;
	/** Whether this host is shutting down: it draws and borrows nothing more. */
	readonly isRetiring: () => boolean;
	/** Whether this host draws nothing now, since the store was restored from an older copy a short time ago. */
	readonly isDrawPaused: () => boolean;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Starts the task that keeps this host's rights near what its demand calls for. At a fixed interval it checks each budget and does what
`planRights` and `planBorrowing` decide. It owns the times at which it last wrote each slot and last read it again.
*/
export const startRightsBalancer = ({
	holder, accounts, allocators, borrower, loanPauses, writer, state, holdingPolicy, budgets, isPeerListKnown, isRetiring, isDrawPaused, log, now,
}: Options): RightsBalancer => {
	const writtenAt = new Map<number, number>();
	const refreshedAt = new Map<number, number>();

	const planBudget = (budget: string): 'keep' | 'write' => {
		const rights = writer.rightsOf(budget);
		const account = accounts.get(budget);
		// The store's record has not been read yet, and a write reads it first. A host that holds rights but has no demand waits for its next write.
		if (!rights) {
			return account.rate > 0 || account.granted === 0 ? 'write' : 'keep';
		}

		const view = viewRights(rights, holder, demandRate(account));
		const plan = planRights({
			account,
			holdingPolicy,
			holders: countHolders(rights, holder),
			isOverGranted: unallocated(rights) < 0,
			isAllocator: allocators.isAllocator(budget),
			isStoreUp: state.isUp(),
			store: adjustStaleView(view, writer.rightsAgeMs(budget)),
		});
		if (plan.type === 'give_back') {
			// Rights leave this host's account before the store is told, so that they are never counted twice.
			accounts.apply(budget, {type: 'granted', total: account.granted - plan.tokens});
			log('rights_given_back', {budget, tokens: plan.tokens});
		}

		return plan.type === 'keep' ? 'keep' : 'write';
	};

	// A write that is under way states the previous total of granted rights, so nothing is returned while it runs.
	const isWriteDue = (budget: string): boolean => {
		const slot = writer.slotOf(budget);
		return !writer.isBusy(slot) && now() - (writtenAt.get(slot) ?? -minWriteIntervalMs) >= minWriteIntervalMs;
	};

	// Whether this host looks after rights from the store: it draws them ahead of demand, or it has unspent ones that it drew as a standby
	// allocator or because no allocator replied.
	const isStoreHolder = (budget: string): boolean => allocators.drawsAhead(budget) || accounts.get(budget).granted > accounts.get(budget).settled;

	const writeDueSlots = (): void => {
		const due = [...budgets()].filter(budget => isStoreHolder(budget) && isWriteDue(budget) && planBudget(budget) === 'write');
		const slots = [...new Set(due.map(budget => writer.slotOf(budget)))];
		// While the store is out of reach, a single call is enough to learn whether it is back.
		for (const slot of state.isUp() ? slots : slots.slice(0, 1)) {
			writtenAt.set(slot, now());
			void writer.flush(slot);
		}
	};

	// A host that holds rights without using them makes no writes. It reads the record again to learn that a budget has shrunk, and then returns what is too much.
	const refreshHeldSlots = (): void => {
		const held = accounts.budgets().filter(budget => isStoreHolder(budget) && accounts.available(budget) > 0 && writer.rightsAgeMs(budget) >= maxViewAgeMs);
		const slots = new Set(held.map(budget => writer.slotOf(budget)));
		for (const slot of slots) {
			if (!writer.isBusy(slot) && now() - (refreshedAt.get(slot) ?? -maxViewAgeMs) >= maxViewAgeMs) {
				refreshedAt.set(slot, now());
				void writer.refresh(slot);
			}
		}
	};

	const tick = (): void => {
		for (const budget of accounts.budgets()) {
			accounts.apply(budget, {type: 'aged', seconds: checkIntervalMs / 1000});
		}

		if (isRetiring() || !isPeerListKnown()) {
			return;
		}

		void borrower.collect();
		// A standby may hold rights that it did not draw: clients hand rights back to it while they do not reach the first allocator.
		for (const budget of accounts.budgets().filter(name => !allocators.isAllocator(name) || !isStoreHolder(name))) {
			void borrower.handBackIdle(budget);
		}

		if (state.isUp()) {
			refreshHeldSlots();
		}

		if (state.mayCall()) {
			writeDueSlots();
		}
	};

	// The first delay is random, so that hosts that started together do not write at the same moments.
	let timer = setTimeout(() => {
		timer = setInterval(tick, checkIntervalMs);
	}, Math.random() * checkIntervalMs);
	// Only allocators of a hall with clients draw so often that pauses are needed.
	const isStorePaused: RightsBalancer['isStorePaused'] = budget => allocators.hasClients(budget) && loanPauses.current('store', budget) !== undefined;
	return {
		isStorePaused,
		mayDraw: budget => !isDrawPaused() && mayDraw({
			rights: writer.rightsOf(budget), ageMs: writer.rightsAgeMs(budget), isPaused: isStorePaused(budget),
			mayCall: state.mayCall(), isRetiring: isRetiring(),
		}),
		close() {
			clearInterval(timer);
		},
	};
};
