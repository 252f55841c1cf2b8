import {setTimeout as sleep} from 'node:timers/promises';
import {slotOfBudget, type BudgetRights, type StoreView} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {Accounts} from '../rights/accounts.js';
import type {BudgetLimits} from '../rights/budget-limits.js';
import {createSlotCache} from './create-slot-cache.js';
import {findStranded} from './find-stranded.js';
import type {KnownSlot} from './known-slot.js';
import {planSlotWrite} from './plan-slot-write.js';
import {slotCount} from './slot-count.js';
import type {SlotWriter} from './slot-writer.js';
import type {StoreState} from './store-state.js';

/** Writes of one turn that may meet a conflict before the turn is given up; the next turn tries again. */
const maxConflicts = 8;

/** After a second conflict, writers that met spread over this time, in ms, and more with each further one. */
const conflictPauseMs = 10;

type Options = {
	readonly host: string;
	readonly holder: string;
	readonly store: RightsStore;
	readonly state: StoreState;
	readonly accounts: Accounts;
	readonly limits: () => BudgetLimits;
	/** Whether this host has anything to say of a budget: hosts that only borrow do not. */
	readonly isConcerned: (budget: string) => boolean;
	/** Decides the draw on a budget once the store's side is known. */
	readonly wants: (budget: string) => (view: StoreView, rights: BudgetRights) => number;
	/** Called when the store came back from an older copy. */
	readonly onRestored: () => void;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the writer of this host's rights. A write states totals, so that one whose answer was lost can be made again.

It owns what is known of the store's objects (`createSlotCache`) and the writes under way; what is written is decided by
`planSlotWrite`.
*/
export const createSlotWriter = ({host, holder, store, state, accounts, limits, isConcerned, wants, onRestored, log, now}: Options): SlotWriter => {
	const cache = createSlotCache({
		store, state, onRestored, now,
	});
	const busy = new Map<number, Promise<boolean>>();

	const slotOf = (budget: string): number => slotOfBudget(budget, slotCount);
	const limitsOf = (slot: number): ReadonlyMap<string, number> =>
		new Map([...limits().byBudget].filter(([budget]) => slotOf(budget) === slot));

	const takeGrant = (budget: string, granted: number, rest: number | undefined): void => {
		const drawn = granted - accounts.get(budget).granted;
		accounts.apply(budget, {type: 'granted', total: granted});
		if (drawn > 0) {
			log('rights_drawn', {
				budget, tokens: drawn, granted, rest,
			});
		}
	};

	const writeSlot = async (slot: number, known: KnownSlot): Promise<'done' | 'again' | 'failed'> => {
		const plan = planSlotWrite({
			host, holder, rights: known.rights, limits: limitsOf(slot), version: limits().version, era: known.era, accountOf: accounts.get, isConcerned, wants,
		});
		if (plan.type === 'deposed') {
			return 'failed';
		}

		const outcome = await store.write(`slot-${slot}`, plan.rights, known.revision);
		if (outcome.ok) {
			state.note(true);
			cache.note(slot, outcome.value);
			for (const stranded of findStranded(known.rights, plan.rights)) {
				log('rights_stranded', stranded);
			}

			for (const {budget, granted} of plan.grants) {
				takeGrant(budget, granted, plan.rest.get(budget));
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
		for (let tries = 0; tries < maxConflicts; tries++) {
			const known = cache.get(slot) ?? await cache.read(slot);
			if (!known) {
				return false;
			}

			const result = await writeSlot(slot, tries === 0 ? await cache.refresh(slot, known) : known);
			if (result !== 'again') {
				return result === 'done';
			}

			await sleep(Math.random() * conflictPauseMs * tries);
		}

		return false;
	};

	return {
		slotOf,
		rightsOf(budget) {
			const rights = cache.get(slotOf(budget))?.rights.budgets[budget];
			const {byBudget, version} = limits();
			const limit = byBudget.get(budget);
			return rights && limit !== undefined && version >= (rights.limitVersion ?? 0) ? {...rights, limit} : rights;
		},
		ageOf: budget => now() - (cache.get(slotOf(budget))?.readAt ?? 0),
		async refresh(slot) {
			const known = cache.get(slot);
			if (known) {
				await cache.refresh(slot, known);
			}
		},
		isBusy: slot => busy.has(slot),
		async untilIdle(slot) {
			await busy.get(slot);
		},
		async flush(slot) {
			const running = busy.get(slot);
			if (running) {
				return running;
			}

			const turn = flushSlot(slot);
			busy.set(slot, turn);
			const isDone = await turn;
			busy.delete(slot);
			return isDone;
		},
	};
};
