import {
	holdAheadByRate, unallocated, viewStore, type BudgetRights, type DrawRequest, type HolderRights,
} from '@deckwheel/ledger';
import type {Log} from '../log.js';
import type {RightsStore} from '../rights-store.js';
import type {BudgetLimits} from './budget-limits.js';
import {createAccounts} from './create-accounts.js';
import {createDrawQueue} from './create-draw-queue.js';
import {createSlotWriter} from './create-slot-writer.js';
import {createStoreState} from './create-store-state.js';
import type {Lenders} from './lenders.js';
import {planRights} from './plan-rights.js';
import type {RightsKeeper} from './rights-keeper.js';

const tickMs = 500;

/** A slot is not written more often than this, unless a request waits for it. */
const writeGapMs = 1500;

/** What is known of the store's side is used for this long before it is looked at again. */
const viewTrustMs = 2500;

/** How long a request waits for the store before peers are asked as well, in ms. */
const storePatienceMs = 60;

/** Seconds of its demand that a host asks of a peer beyond what it lacks. */
const borrowSeconds = 1;

/** Seconds over which demand is averaged. */
const rateMemorySeconds = 5;

const holdAhead = holdAheadByRate({shareOfRest: 0.35, horizonSeconds: 8, idleShare: 0.3});

type Options = {
	readonly host: string;
	/** The name of this life of the host. */
	readonly holder: string;
	readonly store: RightsStore;
	readonly lenders: Lenders;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Starts the task that holds this host's rights, and decides when they move to and from the store and peers. */
export const createRightsKeeper = ({host, holder, store, lenders, log, now}: Options): RightsKeeper => {
	const accounts = createAccounts();
	const state = createStoreState(log, now);
	const writtenAt = new Map<number, number>();
	const borrowing = new Map<string, Promise<void>>();
	let limits: BudgetLimits = {version: 0, byBudget: new Map()};
	let isRetiring = false;

	const holdersOf = ({holders}: BudgetRights): number =>
		Object.keys(holders).filter(name => name.includes('#') && name !== holder).length + 1;

	const wants = (budget: string, rights: BudgetRights): DrawRequest['wants'] => view => isRetiring
		? 0
		: holdAhead({
			...view, tokensPerSecond: accounts.of(budget).rate, available: accounts.available(budget), missing: queue.missing(budget), halls: holdersOf(rights),
		});

	const writer = createSlotWriter({
		host, holder, store, state, accounts, limits: () => limits, wants, log, now,
	});
	const queue = createDrawQueue({holder, accounts, writer: () => writer});

	// What a holder is believed to have left, from the store's record of it.
	const holdersByRights = (budget: string): readonly string[] => {
		const left = ({granted, transferred, settled}: HolderRights): number => granted + transferred - settled;
		return Object.entries(writer.rightsOf(budget)?.holders ?? {})
			.filter(([name]) => name !== holder)
			.sort(([, a], [, b]) => left(b) - left(a))
			.map(([name]) => name);
	};

	const borrow = async (budget: string, tokens: number): Promise<void> => {
		const running = borrowing.get(budget);
		if (running) {
			await running;
			return;
		}

		const wanted = tokens - accounts.available(budget) + (accounts.of(budget).rate * borrowSeconds);
		const turn = lenders.borrow(budget, Math.ceil(wanted), holdersByRights(budget), () => accounts.available(budget) >= tokens);
		borrowing.set(budget, turn);
		await turn;
		borrowing.delete(budget);
	};

	const planBudget = (budget: string): 'keep' | 'write' => {
		const rights = writer.rightsOf(budget);
		const account = accounts.of(budget);
		if (!rights) {
			return account.rate > 0 || account.granted === 0 ? 'write' : 'keep';
		}

		const view = viewStore(rights, holder, account.rate);
		const plan = planRights({
			account,
			holdAhead,
			holders: holdersOf(rights),
			isOverGranted: unallocated(rights) < 0,
			isStoreUp: state.isUp(),
			// An old view may say that nothing is left where others have given back since.
			store: writer.ageOf(budget) > viewTrustMs ? {...view, unallocated: Math.max(1, view.unallocated)} : view,
		});
		if (plan.type === 'give_back') {
			// Rights leave this host before the store hears of it.
			accounts.step(budget, {type: 'granted', total: account.granted - plan.tokens});
			log('rights_given_back', {budget, tokens: plan.tokens});
		}

		return plan.type === 'keep' ? 'keep' : 'write';
	};

	// A write that is under way states what was granted before; nothing is given back beside it.
	const isDue = (budget: string): boolean => {
		const slot = writer.slotOf(budget);
		return !writer.isBusy(slot) && now() - (writtenAt.get(slot) ?? -writeGapMs) >= writeGapMs;
	};

	const tick = (): void => {
		for (const budget of accounts.budgets()) {
			accounts.step(budget, {type: 'faded', share: Math.exp(-tickMs / 1000 / rateMemorySeconds)});
		}

		if (!state.mayCall() || isRetiring) {
			return;
		}

		const due = [...limits.byBudget.keys()].filter(budget => isDue(budget) && planBudget(budget) === 'write');
		const slots = [...new Set(due.map(budget => writer.slotOf(budget)))];
		// While the store is out of reach, one call tells whether it is back.
		for (const slot of state.isUp() ? slots : slots.slice(0, 1)) {
			writtenAt.set(slot, now());
			void writer.flush(slot);
		}
	};

	const giveAllBack = async (slot: number): Promise<void> => {
		await writer.idle(slot);
		for (const budget of accounts.budgets().filter(name => writer.slotOf(name) === slot)) {
			accounts.step(budget, {type: 'granted', total: accounts.of(budget).granted - accounts.available(budget)});
		}

		await writer.flush(slot);
	};

	const timer = setInterval(tick, tickMs);

	return {
		configure({version, organisationsByKey}) {
			const limited = [...organisationsByKey.values()].filter(({limit}) => limit !== undefined);
			limits = {version, byBudget: new Map(limited.map(({name, limit}) => [name, limit!]))};
		},
		async reserve(budget, tokens, waitMs) {
			accounts.step(budget, {type: 'demanded', tokensPerSecond: tokens / rateMemorySeconds});
			if (accounts.take(budget, tokens)) {
				return 'reserved';
			}

			const isDrawing = state.mayCall() && !isRetiring;
			const drawn = isDrawing ? await queue.draw(budget, tokens, Math.min(waitMs, storePatienceMs)) : 'unavailable';
			if (drawn === 'reserved' || isRetiring) {
				return drawn;
			}

			await borrow(budget, tokens);
			return accounts.take(budget, tokens) ? 'reserved' : drawn;
		},
		settle(budget, reserved, used) {
			accounts.step(budget, {type: 'settled', reserved, used});
		},
		lend(to, budget, tokens) {
			if (!isRetiring) {
				accounts.step(budget, {type: 'lent', to, tokens});
			}

			const total = accounts.of(budget).given.get(to) ?? 0;
			log('rights_lent', {
				to, budget, asked: tokens, total,
			});
			return total;
		},
		receive(budget, from, total) {
			const before = accounts.available(budget);
			accounts.step(budget, {type: 'received', from, total});
			log('rights_borrowed', {from, budget, tokens: accounts.available(budget) - before});
		},
		async retire() {
			isRetiring = true;
			const slots = new Set(accounts.budgets().map(budget => writer.slotOf(budget)));
			await Promise.all([...slots].map(async slot => giveAllBack(slot)));
		},
		close() {
			clearInterval(timer);
		},
	};
};
