import {unallocated, type HoldingPolicy} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import type {Allocators} from '../lending/allocators.js';
import type {Borrower} from '../lending/borrower.js';
import {countHolders} from '../rights-store/count-holders.js';
import type {SlotWriter} from '../rights-store/slot-writer.js';
import type {StoreState} from '../rights-store/store-state.js';
import {viewRights} from '../rights-store/view-rights.js';
import {adjustStaleView} from '../rights-store/adjust-stale-view.js';
import {maxViewAgeMs} from '../rights-store/max-view-age-ms.js';
import type {RightsBalance} from './rights-balance.js';
import {mayDraw} from './may-draw.js';
import {planRights} from './plan-rights.js';
import {demandRate} from './demand-rate.js';
import type {Accounts} from './accounts.js';

/** How often rights are looked at, in ms. */
const tickMs = 500;

/** A slot is not written more often than this, in ms, unless a request waits for it: it spares calls to the store. */
const writeGapMs = 1500;

type Options = {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly accounts: Accounts;
	readonly allocators: Allocators;
	readonly borrower: Borrower;
	readonly writer: SlotWriter;
	readonly state: StoreState;
	readonly holdingPolicy: HoldingPolicy;
	/** Budgets with a limit. */
	readonly budgets: () => Iterable<string>;
	/** Whether peers that started together had time to be listed. */
	readonly isSettled: () => boolean;
	readonly isRetiring: () => boolean;
	/** Whether nothing is to be drawn now. */
	readonly isDrawPaused: () => boolean;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Starts the task that keeps this host's rights near what its demand asks for: looks at each budget at a steady pace, and does
what `planRights` and `planBorrowing` decide. It owns when each slot was written and looked at last.
*/
export const startRightsBalance = ({holder, accounts, allocators, borrower, writer, state, holdingPolicy, budgets, isSettled, isRetiring, isDrawPaused, log, now}: Options): RightsBalance => {
	const writtenAt = new Map<number, number>();
	const lookedAt = new Map<number, number>();

	const planBudget = (budget: string): 'keep' | 'write' => {
		const rights = writer.rightsOf(budget);
		const account = accounts.get(budget);
		// Nothing was read yet. A write reads first; a host that holds rights and has no demand can wait for its next one.
		if (!rights) {
			return account.rate > 0 || account.granted === 0 ? 'write' : 'keep';
		}

		const view = viewRights(rights, holder, demandRate(account));
		const plan = planRights({
			account,
			holdingPolicy,
			holders: countHolders(rights, holder),
			isOverGranted: unallocated(rights) < 0,
			isStoreUp: state.isUp(),
			store: adjustStaleView(view, writer.rightsAgeMs(budget)),
		});
		if (plan.type === 'give_back') {
			// Rights leave this host before the store hears of it.
			accounts.apply(budget, {type: 'granted', total: account.granted - plan.tokens});
			log('rights_given_back', {budget, tokens: plan.tokens});
		}

		return plan.type === 'keep' ? 'keep' : 'write';
	};

	// A write that is under way states what was granted before; nothing is given back beside it.
	const isDue = (budget: string): boolean => {
		const slot = writer.slotOf(budget);
		return !writer.isBusy(slot) && now() - (writtenAt.get(slot) ?? -writeGapMs) >= writeGapMs;
	};

	// Who stands by, or drew once because no allocator answered, keeps an eye on what it still has of the store.
	const isConcerned = (budget: string): boolean => allocators.drawsAhead(budget) || accounts.get(budget).granted > accounts.get(budget).settled;

	const writeDue = (): void => {
		const due = [...budgets()].filter(budget => isConcerned(budget) && isDue(budget) && planBudget(budget) === 'write');
		const slots = [...new Set(due.map(budget => writer.slotOf(budget)))];
		// While the store is out of reach, one call tells whether it is back.
		for (const slot of state.isUp() ? slots : slots.slice(0, 1)) {
			writtenAt.set(slot, now());
			void writer.flush(slot);
		}
	};

	// Who holds rights that it does not use learns only so that a budget has shrunk, and gives back what is too much.
	const lookAtHeld = (): void => {
		const held = accounts.budgets().filter(budget => isConcerned(budget) && accounts.available(budget) > 0 && writer.rightsAgeMs(budget) >= maxViewAgeMs);
		const slots = new Set(held.map(budget => writer.slotOf(budget)));
		for (const slot of slots) {
			if (!writer.isBusy(slot) && now() - (lookedAt.get(slot) ?? -maxViewAgeMs) >= maxViewAgeMs) {
				lookedAt.set(slot, now());
				void writer.refresh(slot);
			}
		}
	};

	const tick = (): void => {
		for (const budget of accounts.budgets()) {
			accounts.apply(budget, {type: 'aged', seconds: tickMs / 1000});
		}

		if (isRetiring() || !isSettled()) {
			return;
		}

		for (const budget of accounts.budgets().filter(name => !allocators.isAllocator(name))) {
			void borrower.handBackIdle(budget);
		}

		if (state.isUp()) {
			lookAtHeld();
		}

		if (state.mayCall()) {
			writeDue();
		}
	};

	// Hosts that started together must not write at the same moments.
	let timer = setTimeout(() => {
		timer = setInterval(tick, tickMs);
	}, Math.random() * tickMs);
	return {
		mayDraw: budget => !isDrawPaused() && mayDraw({
			rights: writer.rightsOf(budget), ageMs: writer.rightsAgeMs(budget), mayCall: state.mayCall(), isRetiring: isRetiring(),
		}),
		close() {
			clearInterval(timer);
		},
	};
};
