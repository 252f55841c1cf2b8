import {
	holdAheadByRate, planDraw, slotOfBudget, unallocated, viewStore, type BudgetRights, type DrawRequest, type HolderRights,
} from '@deckwheel/ledger';
import type {FleetConfig} from '../fleet-config.js';
import type {Log} from '../log.js';
import type {RightsStore} from '../rights-store.js';
import type {StoredRights} from '../stored-rights.js';
import type {AccountEvent} from './account-event.js';
import {availableRights} from './available-rights.js';
import {emptyHostAccount} from './empty-host-account.js';
import type {HostAccount} from './host-account.js';
import type {Lenders} from './lenders.js';
import {planRights} from './plan-rights.js';
import {prepareRights} from './prepare-rights.js';
import type {ReserveOutcome} from './reserve-outcome.js';
import type {RightsKeeper} from './rights-keeper.js';
import {stepAccount} from './step-account.js';
import {transferredRights} from './transferred-rights.js';

/** Objects among which budgets are spread. All hosts must agree on it. */
const slotCount = 4;
const tickMs = 500;
const maxConflicts = 8;

/** After a failed call to the store, requests that lack rights are refused at once for this long. */
const storePauseMs = 300;
const longestStorePauseMs = 2000;

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

type Waiter = {
	readonly budget: string;
	readonly tokens: number;
	readonly resolve: (outcome: ReserveOutcome) => void;
};

type Known = StoredRights & {/** Monotonic ms. */ readonly readAt: number};

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

/** Starts the task that holds this host's rights and moves them to and from the store, one write at a time for each slot. */
export const createRightsKeeper = ({host, holder, store, lenders, log, now}: Options): RightsKeeper => {
	const accounts = new Map<string, HostAccount>();
	const known = new Map<number, Known>();
	const busy = new Map<number, Promise<boolean>>();
	const writtenAt = new Map<number, number>();
	const borrowing = new Map<string, Promise<void>>();
	let waiters: readonly Waiter[] = [];
	let limits: ReadonlyMap<string, number> = new Map();
	let version = 0;
	let storeRetryAt = 0;
	let storeFailures = 0;
	let isRetiring = false;
	let isStoreUp = true;

	const accountOf = (budget: string): HostAccount => accounts.get(budget) ?? emptyHostAccount;
	const availableOf = (budget: string): number => availableRights(accountOf(budget));
	const step = (budget: string, event: AccountEvent): void => {
		accounts.set(budget, stepAccount(accountOf(budget), event));
	};

	const slotOf = (budget: string): number => slotOfBudget(budget, slotCount);
	const budgetsOf = (slot: number): readonly string[] => [...limits.keys()].filter(budget => slotOf(budget) === slot);
	const rightsOf = (budget: string): BudgetRights | undefined => {
		const rights = known.get(slotOf(budget))?.rights.budgets[budget];
		const limit = limits.get(budget);
		return rights && limit !== undefined && version >= (rights.limitVersion ?? 0) ? {...rights, limit} : rights;
	};

	const holdersOf = ({holders}: BudgetRights): number =>
		Object.keys(holders).filter(name => name.includes('#') && name !== holder).length + 1;

	const missingFor = (budget: string): number => {
		const wanted = waiters.filter(waiter => waiter.budget === budget).reduce((sum, {tokens}) => sum + tokens, 0);
		return Math.max(0, wanted - availableOf(budget));
	};

	const drawRequestOf = (budget: string, rights: BudgetRights): DrawRequest => {
		const account = accountOf(budget);
		const {granted, settled, rate} = account;
		return {
			budget,
			granted,
			transferred: transferredRights(account),
			settled,
			rate,
			billed: settled,
			wants: view => isRetiring
				? 0
				: holdAhead({
					...view, tokensPerSecond: rate, available: availableOf(budget), missing: missingFor(budget), halls: holdersOf(rights),
				}),
		};
	};

	const noteStore = (isUp: boolean): void => {
		if (isUp !== isStoreUp) {
			log(isUp ? 'store_regained' : 'store_lost', {});
			isStoreUp = isUp;
		}

		storeFailures = isUp ? 0 : storeFailures + 1;
		storeRetryAt = isUp ? 0 : now() + Math.min(longestStorePauseMs, storePauseMs * (2 ** (storeFailures - 1)));
	};

	const readSlot = async (slot: number): Promise<Known | undefined> => {
		const outcome = await store.read(`slot-${slot}`);
		noteStore(outcome.ok);
		if (!outcome.ok) {
			return undefined;
		}

		const read = {...outcome.value, readAt: now()};
		known.set(slot, read);
		return read;
	};

	const writeSlot = async (slot: number, stored: Known): Promise<'done' | 'again' | 'failed'> => {
		const slotLimits = new Map(budgetsOf(slot).map(budget => [budget, limits.get(budget)!]));
		const prepared = prepareRights(stored.rights, {
			host, holder, limits: slotLimits, version,
		});
		const requests = budgetsOf(slot).map(budget => drawRequestOf(budget, prepared.budgets[budget]!));
		const plan = planDraw(prepared, holder, 0, requests);
		if (plan.type === 'deposed') {
			return 'failed';
		}

		const outcome = await store.write(`slot-${slot}`, plan.rights, stored.revision);
		if (outcome.ok) {
			noteStore(true);
			known.set(slot, {...outcome.value, readAt: now()});
			for (const {budget, granted} of plan.grants) {
				const drawn = granted - accountOf(budget).granted;
				step(budget, {type: 'granted', total: granted});
				if (drawn > 0) {
					log('rights_drawn', {
						budget, tokens: drawn, granted, rest: plan.rest.get(budget),
					});
				}
			}

			return 'done';
		}

		if (outcome.error.type === 'conflict') {
			known.set(slot, {...outcome.error.now, readAt: now()});
			return 'again';
		}

		noteStore(false);
		return 'failed';
	};

	const flushSlot = async (slot: number): Promise<boolean> => {
		for (let tries = 0; tries < maxConflicts; tries++) {
			const stored = known.get(slot) ?? await readSlot(slot);
			const result = stored ? await writeSlot(slot, stored) : 'failed';
			if (result !== 'again') {
				return result === 'done';
			}
		}

		return false;
	};

	// Only those whom the write was planned for: others still get a write of their own.
	const serveWaiters = (planned: readonly Waiter[], isDone: boolean): void => {
		const concerned = planned.filter(waiter => waiters.includes(waiter));
		waiters = waiters.filter(waiter => !concerned.includes(waiter));
		for (const {budget, tokens, resolve} of concerned) {
			if (availableOf(budget) >= tokens) {
				step(budget, {type: 'reserved', tokens});
				resolve('reserved');
			} else {
				const rights = rightsOf(budget);
				const isExhausted = isDone && rights !== undefined && viewStore(rights, holder, 0).remaining < tokens;
				resolve(isExhausted ? 'exhausted' : 'unavailable');
			}
		}
	};

	const flush = async (slot: number): Promise<void> => {
		const running = busy.get(slot);
		if (running) {
			await running;
			return;
		}

		const planned = waiters.filter(({budget}) => slotOf(budget) === slot);
		const turn = flushSlot(slot);
		busy.set(slot, turn);
		const isDone = await turn;
		busy.delete(slot);
		serveWaiters(planned, isDone);
	};

	const take = (budget: string, tokens: number): boolean => {
		const isEnough = availableOf(budget) >= tokens;
		if (isEnough) {
			step(budget, {type: 'reserved', tokens});
		}

		return isEnough;
	};

	const drawFor = async (budget: string, tokens: number, waitMs: number): Promise<ReserveOutcome> => new Promise(resolve => {
		const waiter: Waiter = {
			budget,
			tokens,
			resolve(outcome) {
				clearTimeout(giveUp);
				resolve(outcome);
			},
		};
		const giveUp = setTimeout(() => {
			waiters = waiters.filter(entry => entry !== waiter);
			resolve('unavailable');
		}, waitMs);
		waiters = [...waiters, waiter];
		const flushForWaiter = async (): Promise<void> => {
			// A write that is under way was planned without this request.
			await busy.get(slotOf(budget));
			if (waiters.includes(waiter)) {
				await flush(slotOf(budget));
			}
		};

		void flushForWaiter();
	});

	// What a holder is believed to have left, from the store's record of it.
	const holdersByRights = (budget: string): readonly string[] => {
		const left = ({granted, transferred, settled}: HolderRights): number => granted + transferred - settled;
		return Object.entries(rightsOf(budget)?.holders ?? {})
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

		const wanted = tokens - availableOf(budget) + (accountOf(budget).rate * borrowSeconds);
		const turn = lenders.borrow(budget, Math.ceil(wanted), holdersByRights(budget), () => availableOf(budget) >= tokens);
		borrowing.set(budget, turn);
		await turn;
		borrowing.delete(budget);
	};

	const planBudget = (budget: string): 'keep' | 'write' => {
		const rights = rightsOf(budget);
		const account = accountOf(budget);
		if (!rights) {
			return account.rate > 0 || account.granted === 0 ? 'write' : 'keep';
		}

		const age = now() - (known.get(slotOf(budget))?.readAt ?? 0);
		const store = viewStore(rights, holder, account.rate);
		const plan = planRights({
			account,
			holdAhead,
			holders: holdersOf(rights),
			isOverGranted: unallocated(rights) < 0,
			isStoreUp,
			// An old view may say that nothing is left where others have given back since.
			store: age > viewTrustMs ? {...store, unallocated: Math.max(1, store.unallocated)} : store,
		});
		if (plan.type === 'give_back') {
			// Rights leave this host before the store hears of it.
			step(budget, {type: 'granted', total: account.granted - plan.tokens});
			log('rights_given_back', {budget, tokens: plan.tokens});
		}

		return plan.type === 'keep' ? 'keep' : 'write';
	};

	const fadeRates = (): void => {
		const kept = Math.exp(-tickMs / 1000 / rateMemorySeconds);
		for (const budget of accounts.keys()) {
			step(budget, {type: 'faded', share: kept});
		}
	};

	const tick = (): void => {
		fadeRates();
		if (now() < storeRetryAt || isRetiring) {
			return;
		}

		const isRested = (budget: string): boolean => now() - (writtenAt.get(slotOf(budget)) ?? -writeGapMs) >= writeGapMs;
		const slots = new Set([...limits.keys()].filter(budget => isRested(budget) && planBudget(budget) === 'write').map(budget => slotOf(budget)));
		// While the store is out of reach, one call tells whether it is back.
		for (const slot of isStoreUp ? slots : [...slots].slice(0, 1)) {
			writtenAt.set(slot, now());
			void flush(slot);
		}
	};

	const timer = setInterval(tick, tickMs);

	return {
		configure(config: FleetConfig) {
			version = config.version;
			limits = new Map([...config.organisationsByKey.values()]
				.filter(({limit}) => limit !== undefined)
				.map(({name, limit}) => [name, limit!]));
		},
		async reserve(budget, tokens, waitMs) {
			step(budget, {type: 'demanded', tokensPerSecond: tokens / rateMemorySeconds});
			if (take(budget, tokens)) {
				return 'reserved';
			}

			const giveUpAt = now() + waitMs;
			const fromStore = now() < storeRetryAt || isRetiring ? 'unavailable' : await drawFor(budget, tokens, Math.min(waitMs, storePatienceMs));
			if (fromStore === 'reserved' || isRetiring) {
				return fromStore;
			}

			await borrow(budget, tokens);
			return now() < giveUpAt + storePatienceMs && take(budget, tokens) ? 'reserved' : fromStore;
		},
		settle(budget, reserved, used) {
			step(budget, {type: 'settled', reserved, used});
		},
		lend(to, budget, tokens) {
			if (!isRetiring) {
				step(budget, {type: 'lent', to, tokens});
			}

			const total = accountOf(budget).given.get(to) ?? 0;
			log('rights_lent', {
				to, budget, asked: tokens, total,
			});
			return total;
		},
		receive(budget, from, total) {
			const before = availableOf(budget);
			step(budget, {type: 'received', from, total});
			log('rights_borrowed', {from, budget, tokens: availableOf(budget) - before});
		},
		async retire() {
			isRetiring = true;
			for (const budget of accounts.keys()) {
				step(budget, {type: 'granted', total: accountOf(budget).granted - availableOf(budget)});
			}

			const slots = new Set([...accounts.keys()].map(budget => slotOf(budget)));
			await Promise.all([...slots].map(async slot => {
				await busy.get(slot);
				await flush(slot);
			}));
		},
		close() {
			clearInterval(timer);
		},
	};
};
