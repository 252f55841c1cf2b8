import {
	drawAmount, holdAheadByRate, slotOfBudget, viewStore, type BudgetRights, type HolderRights, type StoreView,
} from '@deckwheel/ledger';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {Timeouts} from '../../timeouts.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import {createAllocators} from '../lending/create-allocators.js';
import {createBorrower} from '../lending/create-borrower.js';
import {createClientDemand} from '../lending/create-client-demand.js';
import {createDrawQueue} from '../rights-store/create-draw-queue.js';
import {createSlotWriter} from '../rights-store/create-slot-writer.js';
import {createStoreState} from '../rights-store/create-store-state.js';
import {holdersOf} from '../rights-store/holders-of.js';
import type {Lenders} from '../lending/lenders.js';
import type {PeerLinks} from '../peers/peer-links.js';
import {planLoan} from '../lending/plan-loan.js';
import {slotCount} from '../rights-store/slot-count.js';
import {viewRights} from '../rights-store/view-rights.js';
import {viewTrustMs} from '../rights-store/view-trust-ms.js';
import {startRightsBalance} from './start-rights-balance.js';
import type {RightsKeeper} from './rights-keeper.js';
import type {ReserveOutcome} from './reserve-outcome.js';
import {demandRate} from './demand-rate.js';
import {createAccounts} from './create-accounts.js';
import type {BudgetLimits} from './budget-limits.js';

/** How long holders that had too little are left alone, in ms. */
const gatherPauseMs = 250;

/** A store that was out of reach for some time is expected to stay so for as long again. */
const leastRetryAfterSeconds = 2;
const mostRetryAfterSeconds = 30;

/** The parts of what is available that may go to a peer: of an allocator to its own hall, and of any host to another. */
const allocatorShare = 0.9;
const peerShare = 0.5;

const holdAhead = holdAheadByRate({shareOfRest: 0.35, horizonSeconds: 8, idleShare: 0.3});

type Options = {
	readonly host: string;
	/** The name of this life of the host. */
	readonly holder: string;
	readonly store: RightsStore;
	readonly lenders: Lenders;
	readonly links: () => Pick<PeerLinks, 'hallPeers' | 'hallSize' | 'isSettled' | 'peerOf'>;
	readonly timeouts: Timeouts;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Starts the task that holds this host's rights, and decides when they move to and from the store and peers. */
export const createRightsKeeper = ({host, holder, store, lenders, links, timeouts, log, now}: Options): RightsKeeper => {
	const accounts = createAccounts();
	const clientDemand = createClientDemand();
	const state = createStoreState(log, now);
	let limits: BudgetLimits = {version: 0, byBudget: new Map()};
	const gatherAgainAt = new Map<string, number>();
	let isRetiring = false;

	const allocators = createAllocators({holder, links, slotOf: budget => slotOfBudget(budget, slotCount)});
	const borrower = createBorrower({
		accounts, lenders, allocatorsOf: allocators.others, log,
	});

	const wants = (budget: string) => (view: StoreView, rights: BudgetRights): number => isRetiring
		? 0
		: drawAmount({
			target: holdAhead({
				...view,
				remaining: viewRights(rights, holder, 0).remaining,
				tokensPerSecond: demandRate(accounts.of(budget)),
				holders: holdersOf(rights, holder),
			}),
			available: accounts.available(budget),
			missing: queue.missing(budget),
		});

	const writer = createSlotWriter({
		host,
		holder,
		store,
		state,
		accounts,
		limits: () => limits,
		isConcerned: budget => accounts.of(budget).granted !== 0 || queue.missing(budget) > 0 || allocators.drawsAhead(budget),
		wants,
		log,
		now,
	});
	const queue = createDrawQueue({accounts, writer: () => writer});
	const balance = startRightsBalance({
		holder, accounts, allocators, borrower, writer, state, holdAhead, log, now,
		budgets: () => limits.byBudget.keys(),
		isSettled: () => links().isSettled(),
		isRetiring: () => isRetiring,
	});

	// What a holder is believed to have left, from the store's record of it.
	const peersByRights = (budget: string): readonly ListedPeer[] => {
		const left = ({granted, transferred, settled}: HolderRights): number => granted + transferred - settled;
		return Object.entries(writer.rightsOf(budget)?.holders ?? {})
			.filter(([name]) => name !== holder)
			.sort(([, a], [, b]) => left(b) - left(a))
			.map(([name]) => links().peerOf(name))
			.filter(peer => peer !== undefined);
	};

	// Final, so it counts as left whatever no host has reported as spent.
	const isExhausted = (budget: string, tokens: number): boolean => {
		const rights = writer.rightsOf(budget);
		return rights !== undefined && writer.ageOf(budget) < viewTrustMs && viewStore(rights, holder, 0).remaining < tokens;
	};

	// Holders that had too little a moment ago are left alone, so that a shortage does not bring a storm of questions.
	const gather = async (budget: string, tokens: number, patienceMs: number): Promise<void> => {
		if (now() < (gatherAgainAt.get(budget) ?? 0)) {
			return;
		}

		await borrower.borrow(budget, tokens, peersByRights(budget), patienceMs);
		if (accounts.available(budget) < tokens) {
			gatherAgainAt.set(budget, now() + gatherPauseMs);
		}
	};

	const obtain = async (budget: string, tokens: number, waitMs: number): Promise<ReserveOutcome> => {
		const until = now() + waitMs;
		if (accounts.take(budget, tokens)) {
			return 'reserved';
		}

		let hasReachedStore = false;
		if (!isRetiring && !allocators.isAllocator(budget)) {
			hasReachedStore = await borrower.borrow(budget, tokens, allocators.others(budget), until - now());
			if (accounts.take(budget, tokens)) {
				return 'reserved';
			}
		}

		// An allocator that reaches the store drew what there is; a second writer would only be in its way.
		if (!hasReachedStore && balance.mayDraw(budget) && await queue.draw(budget, tokens, Math.min(until - now(), timeouts.storeMs)) === 'reserved') {
			return 'reserved';
		}

		if (!isRetiring) {
			await gather(budget, tokens, until - now());
		}

		if (accounts.take(budget, tokens)) {
			return 'reserved';
		}

		return isExhausted(budget, tokens) ? 'exhausted' : 'unavailable';
	};

	// What a client of this host lacks is drawn from the store, or else gathered from the holders of other halls.
	const gatherForClient = async (budget: string, tokens: number): Promise<void> => {
		if (accounts.available(budget) >= tokens) {
			return;
		}

		// What a waiting draw reserves is free again at once, for the loan.
		if (balance.mayDraw(budget) && await queue.draw(budget, tokens, timeouts.storeMs) === 'reserved') {
			accounts.step(budget, {type: 'settled', reserved: tokens, used: 0});
			return;
		}

		if (!isRetiring) {
			await gather(budget, tokens, timeouts.gatherMs);
		}
	};

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
		async reserve(budget, tokens, waitMs) {
			const outcome = await obtain(budget, tokens, waitMs);
			// Refused requests come back; counted each time, they would make the demand look many times larger.
			if (outcome === 'reserved') {
				accounts.step(budget, {type: 'demanded', by: 'own_request', tokens});
			}

			return outcome;
		},
		settle(budget, reserved, used) {
			accounts.step(budget, {type: 'settled', reserved, used});
		},
		async lend(to, {budget, tokens, demanded, received}) {
			const givenTo = (): number => accounts.of(budget).given.get(to) ?? 0;
			const isClient = allocators.isClient(to, budget);
			// Hosts that draw for themselves, here or in other halls, are peers in need and no lasting demand on this one.
			if (isClient) {
				accounts.step(budget, {type: 'demanded', by: 'client', tokens: clientDemand.note(to, budget, demanded)});
				await gatherForClient(budget, Math.ceil(planLoan({asked: tokens, given: givenTo(), received}) / allocatorShare));
			}

			// Another question of the same peer may have been answered in the meantime.
			const given = givenTo();
			if (!isRetiring) {
				accounts.step(budget, {
					type: 'lent', to, tokens: planLoan({asked: tokens, given, received}), share: isClient ? allocatorShare : peerShare,
				});
			}

			const total = givenTo();
			log('rights_lent', {
				to, budget, asked: tokens, lent: total - given, total,
			});
			// A fellow allocator got what was at hand; nothing was drawn for it, so it may still draw for itself.
			return {total, reachesStore: isClient && state.isUp() && !isRetiring};
		},
		receivedFrom: (budget, from) => accounts.of(budget).received.get(from) ?? 0,
		receive(budget, from, total) {
			credit('rights_borrowed', budget, from, total);
		},
		takeBack(budget, from, total) {
			credit('rights_taken_back', budget, from, total);
		},
		retryAfterSeconds: () => Math.max(leastRetryAfterSeconds, Math.min(mostRetryAfterSeconds, state.downMs() / 1000)),
		async retire() {
			isRetiring = true;
			const slots = new Set(accounts.budgets().map(budget => writer.slotOf(budget)));
			await Promise.all([...slots].map(async slot => giveAllBack(slot)));
		},
		close: balance.close,
	};
};
