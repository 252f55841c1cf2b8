import {setTimeout as sleep} from 'node:timers/promises';
import {
	planDraw, slotOfBudget, type BudgetRights, type DrawRequest, type StoreView, transferred,
} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoredRights} from '../../adapter/stored-rights.js';
import type {Accounts} from '../rights/accounts.js';
import type {BudgetLimits} from '../rights/budget-limits.js';
import {demandRate} from '../rights/demand-rate.js';
import {prepareRights} from './prepare-rights.js';
import {slotCount} from './slot-count.js';
import type {SlotWriter} from './slot-writer.js';
import type {StoreState} from './store-state.js';

const maxConflicts = 8;

/** After a second conflict, writers that met spread over this time, in ms, and more with each further one. */
const conflictPauseMs = 10;

/** A look at the store before a write is worth it when what is known is older than this, in ms. */
const glanceAfterMs = 200;

/** The store answers in a few ms; where it is slow, the write itself tells. */
const glanceTimeoutMs = 100;

type Known = StoredRights & {/** Monotonic ms. */ readonly readAt: number};

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
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the writer of this host's rights. A write states totals, so that one whose answer was lost can be made again. */
export const createSlotWriter = ({host, holder, store, state, accounts, limits, isConcerned, wants, log, now}: Options): SlotWriter => {
	const known = new Map<number, Known>();
	const busy = new Map<number, Promise<boolean>>();

	const slotOf = (budget: string): number => slotOfBudget(budget, slotCount);
	const limitsOf = (slot: number): ReadonlyMap<string, number> =>
		new Map([...limits().byBudget].filter(([budget]) => slotOf(budget) === slot));

	const note = (slot: number, stored: StoredRights): Known => {
		const noted = {...stored, readAt: now()};
		known.set(slot, noted);
		return noted;
	};

	const readSlot = async (slot: number): Promise<Known | undefined> => {
		const outcome = await store.read(`slot-${slot}`);
		state.note(outcome.ok);
		return outcome.ok ? note(slot, outcome.value) : undefined;
	};

	// Most writes would meet a change of another hall. Of what a cheap look shows, only the newer is taken, and its age is
	// not known to be less than that of what was known before.
	const lookFirst = async (slot: number, stored: Known): Promise<Known> => {
		if (!state.isUp() || now() - stored.readAt < glanceAfterMs) {
			return stored;
		}

		const seen = await store.glance(`slot-${slot}`, glanceTimeoutMs);
		const latest = known.get(slot) ?? stored;
		if (!seen || seen.revision <= latest.revision) {
			return latest;
		}

		const noted = {...seen, readAt: latest.readAt};
		known.set(slot, noted);
		return noted;
	};

	const drawRequestOf = (budget: string, rights: BudgetRights): DrawRequest => {
		const account = accounts.of(budget);
		return {
			budget,
			granted: account.granted,
			transferred: transferred(account),
			settled: account.settled,
			rate: demandRate(account),
			billed: account.settled,
			wants: view => wants(budget)(view, rights),
		};
	};

	const takeGrant = (budget: string, granted: number, rest: number | undefined): void => {
		const drawn = granted - accounts.of(budget).granted;
		accounts.step(budget, {type: 'granted', total: granted});
		if (drawn > 0) {
			log('rights_drawn', {
				budget, tokens: drawn, granted, rest,
			});
		}
	};

	const writeSlot = async (slot: number, stored: Known): Promise<'done' | 'again' | 'failed'> => {
		const slotLimits = limitsOf(slot);
		const prepared = prepareRights(stored.rights, {
			host, holder, limits: slotLimits, version: limits().version,
		});
		const requests = [...slotLimits.keys()].filter(budget => isConcerned(budget)).map(budget => drawRequestOf(budget, prepared.budgets[budget]!));
		const plan = planDraw(prepared, holder, 0, requests);
		if (plan.type === 'deposed') {
			return 'failed';
		}

		const outcome = await store.write(`slot-${slot}`, plan.rights, stored.revision);
		if (outcome.ok) {
			state.note(true);
			note(slot, outcome.value);
			for (const {budget, granted} of plan.grants) {
				takeGrant(budget, granted, plan.rest.get(budget));
			}

			return 'done';
		}

		if (outcome.error.type === 'conflict') {
			note(slot, outcome.error.now);
			return 'again';
		}

		state.note(false);
		return 'failed';
	};

	const flushSlot = async (slot: number): Promise<boolean> => {
		for (let tries = 0; tries < maxConflicts; tries++) {
			const stored = known.get(slot) ?? await readSlot(slot);
			const result = stored ? await writeSlot(slot, tries === 0 ? await lookFirst(slot, stored) : stored) : 'failed';
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
			const rights = known.get(slotOf(budget))?.rights.budgets[budget];
			const {byBudget, version} = limits();
			const limit = byBudget.get(budget);
			return rights && limit !== undefined && version >= (rights.limitVersion ?? 0) ? {...rights, limit} : rights;
		},
		ageOf: budget => now() - (known.get(slotOf(budget))?.readAt ?? 0),
		isBusy: slot => busy.has(slot),
		async idle(slot) {
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
