import {setTimeout as sleep} from 'node:timers/promises';
import {ownValue} from '@deckwheel/core';
import {slotOfBudget, type BudgetRights, type StoreView} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {Accounts} from '../rights/accounts.js';
import type {BudgetLimits} from '../rights/budget-limits.js';
import {createSlotCache} from './create-slot-cache.js';
import {findStrandedRights} from './find-stranded-rights.js';
import type {KnownSlot} from './known-slot.js';
import {planSlotWrite} from './plan-slot-write.js';
import {slotCount} from './slot-count.js';
import type {SlotWriter} from './slot-writer.js';
import type {StoreState} from './store-state.js';

/** The most writes that one flush makes when each of them meets a conflict. After that the flush fails, and the next flush writes again. */
const maxWriteAttempts = 8;

/** The longest random delay after the second conflict of a flush, in ms, and as much more after each further conflict. It spreads hosts that write to the same slot. */
const conflictDelayMs = 10;

type Options = {
	/** The name of this host. */
	readonly host: string;
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	readonly store: RightsStore;
	readonly state: StoreState;
	readonly accounts: Accounts;
	readonly limits: () => BudgetLimits;
	/** Whether this host writes an entry of its own for a budget; hosts that only borrow do not. */
	readonly isEntryNeeded: (budget: string) => boolean;
	/** Returns the function that decides how many tokens to draw on a budget, given the store's record of it. */
	readonly drawAmountOf: (budget: string) => (view: StoreView, rights: BudgetRights) => number;
	/** Called when the store was found to have been restored from an older copy. */
	readonly onRestored: () => void;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the writer of this host's rights. Each write states totals, so that a write whose result was lost can safely be retried.

The writer owns the cache of the store's objects (`createSlotCache`) and the writes in flight. `planSlotWrite` decides what
is written.
*/
export const createSlotWriter = ({host, holder, store, state, accounts, limits, isEntryNeeded, drawAmountOf, onRestored, log, now}: Options): SlotWriter => {
	const cache = createSlotCache({
		store, state, onRestored, now,
	});
	const runningFlushes = new Map<number, Promise<boolean>>();

	const slotOf = (budget: string): number => slotOfBudget(budget, slotCount);
	const limitsOf = (slot: number): ReadonlyMap<string, number> =>
		new Map([...limits().byBudget].filter(([budget]) => slotOf(budget) === slot));

	const applyGrant = (budget: string, granted: number, unallocated: number | undefined): void => {
		const drawn = granted - accounts.get(budget).granted;
		accounts.apply(budget, {type: 'granted', total: granted});
		if (drawn > 0) {
			log('rights_drawn', {
				budget, tokens: drawn, granted, rest: unallocated,
			});
		}
	};

	const writeSlot = async (slot: number, known: KnownSlot): Promise<'done' | 'again' | 'failed'> => {
		const plan = planSlotWrite({
			host, holder, rights: known.rights, limits: limitsOf(slot), version: limits().version, era: known.era, accountOf: accounts.get, isEntryNeeded, drawAmountOf,
		});
		if (plan.type === 'deposed') {
			return 'failed';
		}

		const outcome = await store.write(`slot-${slot}`, plan.rights, known.revision);
		if (outcome.ok) {
			state.note(true);
			cache.note(slot, outcome.value);
			for (const stranded of findStrandedRights(known.rights, plan.rights)) {
				log('rights_stranded', stranded);
			}

			for (const {budget, granted} of plan.grants) {
				applyGrant(budget, granted, plan.rest.get(budget));
			}

			return 'done';
		}

		if (outcome.error.type === 'conflict') {
			cache.note(slot, outcome.error.now);
			return 'again';
		}

		state.note(outcome.error.type === 'unreadable');
		return 'failed';
	};

	const flushSlot = async (slot: number): Promise<boolean> => {
		for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
			const known = cache.get(slot) ?? await cache.read(slot);
			if (!known) {
				return false;
			}

			const result = await writeSlot(slot, attempt === 0 ? await cache.refresh(slot, known) : known);
			if (result !== 'again') {
				return result === 'done';
			}

			await sleep(Math.random() * conflictDelayMs * attempt);
		}

		return false;
	};

	return {
		slotOf,
		rightsOf(budget) {
			const rights = ownValue(cache.get(slotOf(budget))?.rights.budgets, budget);
			const {byBudget, version} = limits();
			const limit = byBudget.get(budget);
			return rights && limit !== undefined && version >= (rights.limitVersion ?? 0) ? {...rights, limit} : rights;
		},
		rightsAgeMs: budget => now() - (cache.get(slotOf(budget))?.readAt ?? 0),
		async refresh(slot) {
			const known = cache.get(slot);
			if (known) {
				await cache.refresh(slot, known);
			}
		},
		isBusy: slot => runningFlushes.has(slot),
		async untilIdle(slot) {
			await runningFlushes.get(slot);
		},
		async flush(slot) {
			const running = runningFlushes.get(slot);
			if (running) {
				return running;
			}

			const flushing = flushSlot(slot);
			runningFlushes.set(slot, flushing);
			const isWritten = await flushing;
			runningFlushes.delete(slot);
			return isWritten;
		},
	};
};
