import {
	holdAheadByRate, unallocated, viewStore, type BudgetRights, type DrawRequest, type HolderRights,
} from '@deckwheel/ledger';
import {rankByRendezvous} from '@deckwheel/core';
import type {ListedPeer} from '../listed-peer.js';
import type {Log} from '../log.js';
import type {RightsStore} from '../rights-store.js';
import type {BudgetLimits} from './budget-limits.js';
import {createAccounts} from './create-accounts.js';
import {createDrawQueue} from './create-draw-queue.js';
import {createSlotWriter} from './create-slot-writer.js';
import {createStoreState} from './create-store-state.js';
import type {Lenders} from './lenders.js';
import type {PeerLinks} from './peer-links.js';
import {planLoan} from './plan-loan.js';
import {planRights} from './plan-rights.js';
import {rankBankers} from './rank-bankers.js';
import type {ReserveOutcome} from './reserve-outcome.js';
import type {RightsKeeper} from './rights-keeper.js';
import {viewRights} from './view-rights.js';

const tickMs = 500;

/** A slot is not written more often than this, unless a request waits for it. */
const writeGapMs = 1500;

/** What is known of the store's side is used for this long before it is looked at again. */
const viewTrustMs = 2500;

/** A store that was seen to have nothing left is not asked again for this long, in ms: others give back in the meantime. */
const emptyTrustMs = 300;

/** How long a request waits for the store before peers are asked as well, in ms. */
const storePatienceMs = 60;

/** Seconds of its own demand that a host borrows beyond what it lacks, when it asks again, and what it keeps at most. */
const borrowSeconds = 1.5;
const borrowBelowSeconds = 0.7;
const keepSeconds = 3;

/** Borrowed rights this small are not worth handing back, in tokens. */
const keepTokens = 4000;

/** The parts of what is available that may go to a peer: of a banker, and of any other host. */
const bankerShare = 0.9;
const peerShare = 0.5;

/** Bankers that a host asks in turn. */
const maxBankersAsked = 2;

/** Seconds over which demand is averaged. */
const rateMemorySeconds = 5;

const holdAhead = holdAheadByRate({shareOfRest: 0.35, horizonSeconds: 8, idleShare: 0.3});

type Options = {
	readonly host: string;
	/** The name of this life of the host. */
	readonly holder: string;
	readonly store: RightsStore;
	readonly lenders: Lenders;
	readonly links: () => Pick<PeerLinks, 'hallPeers' | 'isSettled' | 'peerOf'>;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Starts the task that holds this host's rights, and decides when they move to and from the store and peers. */
export const createRightsKeeper = ({host, holder, store, lenders, links, log, now}: Options): RightsKeeper => {
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
			...view, remaining: viewRights(rights, holder, 0).remaining, tokensPerSecond: accounts.of(budget).rate, available: accounts.available(budget), missing: queue.missing(budget), halls: holdersOf(rights),
		});

	const bankersOf = (budget: string): readonly ListedPeer[] => rankBankers(budget, links().hallPeers());
	const isBanker = (budget: string): boolean => bankersOf(budget).some(peer => peer.holder === holder);

	const writer = createSlotWriter({
		host,
		holder,
		store,
		state,
		accounts,
		limits: () => limits,
		isConcerned: budget => accounts.of(budget).granted !== 0 || queue.missing(budget) > 0 || isBanker(budget),
		wants,
		log,
		now,
	});
	const queue = createDrawQueue({accounts, writer: () => writer});

	// What a holder is believed to have left, from the store's record of it.
	const peersByRights = (budget: string): readonly ListedPeer[] => {
		const left = ({granted, transferred, settled}: HolderRights): number => granted + transferred - settled;
		return Object.entries(writer.rightsOf(budget)?.holders ?? {})
			.filter(([name]) => name !== holder)
			.sort(([, a], [, b]) => left(b) - left(a))
			.map(([name]) => links().peerOf(name))
			.filter(peer => peer !== undefined);
	};

	// Each host has its own order among the bankers, so that they share the load.
	const ownBankers = (budget: string): readonly ListedPeer[] => {
		const bankers = new Map(bankersOf(budget).filter(peer => peer.holder !== holder).map(peer => [peer.address, peer]));
		return rankByRendezvous(host, [...bankers.keys()]).slice(0, maxBankersAsked).map(address => bankers.get(address)!);
	};

	// A draw is of use unless the store was seen to have nothing left a moment ago.
	const mayDraw = (budget: string): boolean => {
		const rights = writer.rightsOf(budget);
		const isSeenEmpty = rights !== undefined && writer.ageOf(budget) < emptyTrustMs && unallocated(rights) < 1;
		return state.mayCall() && !isRetiring && !isSeenEmpty;
	};

	// Final, so it counts as left whatever no host has reported as spent.
	const isExhausted = (budget: string, tokens: number): boolean => {
		const rights = writer.rightsOf(budget);
		return rights !== undefined && writer.ageOf(budget) < viewTrustMs && viewStore(rights, holder, 0).remaining < tokens;
	};

	const borrow = async (budget: string, tokens: number, peers: readonly ListedPeer[]): Promise<void> => {
		const running = borrowing.get(budget);
		if (running) {
			await running;
			return;
		}

		const wanted = tokens - accounts.available(budget) + (accounts.of(budget).rate * borrowSeconds);
		const turn = lenders.borrow(budget, Math.ceil(wanted), peers, () => accounts.available(budget) >= tokens);
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

		const view = viewRights(rights, holder, account.rate);
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

		if (isRetiring) {
			return;
		}

		for (const budget of accounts.budgets().filter(name => !isBanker(name))) {
			balanceLoan(budget);
		}

		if (!links().isSettled() || !state.mayCall()) {
			return;
		}

		const due = [...limits.byBudget.keys()].filter(budget => isBanker(budget) && isDue(budget) && planBudget(budget) === 'write');
		const slots = [...new Set(due.map(budget => writer.slotOf(budget)))];
		// While the store is out of reach, one call tells whether it is back.
		for (const slot of state.isUp() ? slots : slots.slice(0, 1)) {
			writtenAt.set(slot, now());
			void writer.flush(slot);
		}
	};

	// A host that is no banker keeps a few seconds of its own demand, borrowed ahead and handed back.
	const balanceLoan = (budget: string): void => {
		const available = accounts.available(budget);
		const {rate} = accounts.of(budget);
		if (available < rate * borrowBelowSeconds) {
			void borrow(budget, 0, ownBankers(budget));
			return;
		}

		const surplus = available - (rate * keepSeconds);
		const [banker] = ownBankers(budget);
		if (surplus > keepTokens && banker && links().isSettled()) {
			accounts.step(budget, {
				type: 'lent', to: banker.holder, tokens: surplus, share: 1,
			});
			lenders.handBack(banker.address, budget, accounts.of(budget).given.get(banker.holder) ?? 0);
			log('rights_handed_back', {to: banker.holder, budget, tokens: surplus});
		}
	};

	// Hosts that draw for themselves, here or in other halls, are peers in need and no lasting demand on this one.
	const borrowsFromThisHost = (to: string, budget: string): boolean => {
		const isNear = links().hallPeers().some(peer => peer.holder === to);
		return isNear && isBanker(budget) && !bankersOf(budget).some(peer => peer.holder === to);
	};

	const noteDemand = (budget: string, tokens: number): void => {
		accounts.step(budget, {type: 'demanded', tokensPerSecond: tokens / rateMemorySeconds});
	};

	const obtain = async (budget: string, tokens: number, waitMs: number): Promise<ReserveOutcome> => {
		if (accounts.take(budget, tokens)) {
			return 'reserved';
		}

		if (!isRetiring && !isBanker(budget)) {
			await borrow(budget, tokens, ownBankers(budget));
			if (accounts.take(budget, tokens)) {
				return 'reserved';
			}
		}

		if (mayDraw(budget) && await queue.draw(budget, tokens, Math.min(waitMs, storePatienceMs)) === 'reserved') {
			return 'reserved';
		}

		if (!isRetiring) {
			await borrow(budget, tokens, peersByRights(budget));
		}

		if (accounts.take(budget, tokens)) {
			return 'reserved';
		}

		return isExhausted(budget, tokens) ? 'exhausted' : 'unavailable';
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
			const outcome = await obtain(budget, tokens, waitMs);
			// Refused requests come back; counted each time, they would make the demand look many times larger.
			if (outcome === 'reserved') {
				noteDemand(budget, tokens);
			}

			return outcome;
		},
		settle(budget, reserved, used) {
			accounts.step(budget, {type: 'settled', reserved, used});
		},
		async lend(to, budget, tokens, received) {
			const givenTo = (): number => accounts.of(budget).given.get(to) ?? 0;
			const isClient = borrowsFromThisHost(to, budget);
			// What a waiting draw reserves is free again at once, for the loan.
			const needed = Math.ceil(planLoan({asked: tokens, given: givenTo(), received}) / bankerShare);
			const isShort = accounts.available(budget) < needed;
			if (isClient && isShort && mayDraw(budget) && await queue.draw(budget, needed, storePatienceMs) === 'reserved') {
				accounts.step(budget, {type: 'settled', reserved: needed, used: 0});
			}

			// Another question of the same peer may have been answered in the meantime.
			const given = givenTo();
			if (!isRetiring) {
				accounts.step(budget, {
					type: 'lent', to, tokens: planLoan({asked: tokens, given, received}), share: isClient ? bankerShare : peerShare,
				});
			}

			const total = givenTo();
			if (isClient) {
				noteDemand(budget, total - given);
			}

			log('rights_lent', {
				to, budget, asked: tokens, lent: total - given, total,
			});
			return total;
		},
		receivedFrom: (budget, from) => accounts.of(budget).received.get(from) ?? 0,
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
