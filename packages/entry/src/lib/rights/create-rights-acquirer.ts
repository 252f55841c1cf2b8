import {unallocated} from '@deckwheel/ledger';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Timeouts} from '../../timeouts.js';
import type {Allocators} from '../lending/allocators.js';
import type {Borrower} from '../lending/borrower.js';
import type {LoanPauses} from '../lending/loan-pauses.js';
import {rankHolders} from '../lending/rank-holders.js';
import type {DrawQueue} from '../rights-store/draw-queue.js';
import type {SlotWriter} from '../rights-store/slot-writer.js';
import type {Accounts} from './accounts.js';
import {decideRightsSource} from './decide-rights-source.js';
import {isBudgetExhausted} from './is-budget-exhausted.js';
import type {RightsBalancer} from './rights-balancer.js';
import type {RightsAcquirer} from './rights-acquirer.js';
import type {RightsSource} from './rights-source.js';

type Options = {
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	readonly accounts: Accounts;
	readonly allocators: Allocators;
	readonly borrower: Borrower;
	readonly loanPauses: LoanPauses;
	readonly writer: SlotWriter;
	readonly queue: DrawQueue;
	readonly balancer: Pick<RightsBalancer, 'mayDraw' | 'isStorePaused'>;
	/** Finds a peer by its name as a holder of rights. */
	readonly peerOf: (holder: string) => ListedPeer | undefined;
	/** The version of the configuration that states the limits. */
	readonly limitsVersion: () => number;
	readonly timeouts: Pick<Timeouts, 'storeMs' | 'gatherMs'>;
	/** Whether this host is shutting down: it draws and borrows nothing more. */
	readonly isRetiring: () => boolean;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Why a host did not ask a source for a request. */
type Skipped = {
	/** Whether a pause kept it from asking the store or its allocators. */
	readonly isPaused: boolean;
	/** Whether an allocator replied that reaches the store. The host then does not ask the store, and the allocator's word is newer than its own record. */
	readonly hasReachedStore: boolean;
};

/**
Creates the acquirer of a host's rights. It tries the sources of rights in the order of `decideRightsSource`.
*/
export const createRightsAcquirer = ({holder, accounts, allocators, borrower, loanPauses, writer, queue, balancer, peerOf, limitsVersion, timeouts, isRetiring, now}: Options): RightsAcquirer => {
	const holderPeersOf = (budget: string): readonly ListedPeer[] => {
		const rights = writer.rightsOf(budget);
		const names = rights ? rankHolders(rights, holder) : [];
		return names.map(name => peerOf(name)).filter(peer => peer !== undefined);
	};

	const borrowFromHolders = async (budget: string, tokens: number, deadline: number): Promise<void> => {
		await borrower.borrow({
			budget, tokens, source: 'holders', peers: holderPeersOf(budget), deadline,
		});
	};

	// All requests that waited for a write learn the same from it, so only the first one that was not served begins or lengthens a pause.
	const noteDraw = (budget: string, isEnough: boolean): void => {
		if (isEnough || !loanPauses.current('store', budget)) {
			const rights = writer.rightsOf(budget);
			loanPauses.note('store', budget, {isEnough, isConclusive: rights !== undefined && unallocated(rights) < 1, hasReachedStore: true});
		}
	};

	const draw = async (budget: string, tokens: number, deadline: number): Promise<boolean> => {
		const isEnough = await queue.draw(budget, tokens, deadline) === 'reserved';
		noteDraw(budget, isEnough);
		return isEnough;
	};

	const isExhausted = (budget: string, tokens: number, {isPaused, hasReachedStore}: Skipped): boolean => isBudgetExhausted({
		rights: writer.rightsOf(budget),
		ageMs: writer.rightsAgeMs(budget),
		isSkipped: isPaused || hasReachedStore,
		holder,
		account: accounts.get(budget),
		hasClients: allocators.hasClients(budget),
		tokens,
	}) || borrower.isExhausted({
		budget, missing: tokens - accounts.available(budget), version: limitsVersion(), isSkipped: isPaused,
	});

	const areAllocatorsPaused = (budget: string): boolean => loanPauses.current('allocators', budget) !== undefined;

	return {
		isExhausted: (budget, tokens) => isExhausted(budget, tokens, {isPaused: balancer.isStorePaused(budget) || areAllocatorsPaused(budget), hasReachedStore: false}),
		async acquire({budget, tokens, deadline, priority}) {
			let lastSource: RightsSource | undefined;
			let hasReachedStore = false;
			let hasDrawn = false;
			let isPaused = false;
			while (!accounts.tryReserve(budget, tokens)) {
				lastSource = decideRightsSource({
					lastSource, isRetiring: isRetiring(), isAllocator: allocators.isAllocator(budget), hasReachedStore, mayDraw: balancer.mayDraw(budget),
				});
				isPaused ||= lastSource === 'allocators' ? areAllocatorsPaused(budget) : lastSource !== 'store' && !hasDrawn && balancer.isStorePaused(budget);
				if (lastSource === undefined) {
					return isExhausted(budget, tokens, {isPaused, hasReachedStore}) ? 'exhausted' : 'unavailable';
				}

				if (lastSource === 'allocators') {
					hasReachedStore = await borrower.borrow({
						budget, tokens, priority, source: lastSource, peers: allocators.others(budget), deadline,
					});
				} else if (lastSource === 'holders') {
					await borrowFromHolders(budget, tokens, deadline);
				} else {
					hasDrawn = true;
					if (await draw(budget, tokens, Math.min(deadline, now() + timeouts.storeMs))) {
						return 'reserved';
					}
				}
			}

			return 'reserved';
		},
		async acquireForClient(budget, tokens) {
			if (accounts.available(budget) >= tokens) {
				return;
			}

			// A draw reserves the tokens that it waited for. They are released at once, so that they are available for the loan.
			if (balancer.mayDraw(budget) && await draw(budget, tokens, now() + timeouts.storeMs)) {
				accounts.apply(budget, {type: 'settled', reserved: tokens, used: 0});
				return;
			}

			if (!isRetiring()) {
				await borrowFromHolders(budget, tokens, now() + timeouts.gatherMs);
			}
		},
	};
};
