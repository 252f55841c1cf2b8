import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Timeouts} from '../../timeouts.js';
import type {Allocators} from '../lending/allocators.js';
import type {Borrower} from '../lending/borrower.js';
import {rankHolders} from '../lending/rank-holders.js';
import type {DrawQueue} from '../rights-store/draw-queue.js';
import type {SlotWriter} from '../rights-store/slot-writer.js';
import type {Accounts} from './accounts.js';
import {decideRightsSource} from './decide-rights-source.js';
import {isBudgetExhausted} from './is-budget-exhausted.js';
import type {RightsBalance} from './rights-balance.js';
import type {RightsAcquirer} from './rights-acquirer.js';
import type {RightsSource} from './rights-source.js';

/**
How long the holders of a budget that had too little are left alone, in ms, so that a shortage brings no burst of
questions.
*/
const holdersPauseMs = 250;

type Options = {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly accounts: Accounts;
	readonly allocators: Allocators;
	readonly borrower: Borrower;
	readonly writer: SlotWriter;
	readonly queue: DrawQueue;
	readonly balance: Pick<RightsBalance, 'mayDraw'>;
	/** A peer by its name as a holder. */
	readonly peerOf: (holder: string) => ListedPeer | undefined;
	readonly timeouts: Pick<Timeouts, 'storeMs' | 'gatherMs'>;
	readonly isRetiring: () => boolean;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the task that goes through the sources of rights, in the order of `decideRightsSource`. */
export const createRightsAcquirer = ({holder, accounts, allocators, borrower, writer, queue, balance, peerOf, timeouts, isRetiring, now}: Options): RightsAcquirer => {
	const askHoldersAgainAt = new Map<string, number>();

	const holdersOf = (budget: string): readonly ListedPeer[] => {
		const rights = writer.rightsOf(budget);
		const names = rights ? rankHolders(rights, holder) : [];
		return names.map(name => peerOf(name)).filter(peer => peer !== undefined);
	};

	const borrowFromHolders = async (budget: string, tokens: number, deadline: number): Promise<void> => {
		if (now() < (askHoldersAgainAt.get(budget) ?? 0)) {
			return;
		}

		await borrower.borrow({
			budget, tokens, source: 'holders', peers: holdersOf(budget), deadline,
		});
		if (accounts.available(budget) < tokens) {
			askHoldersAgainAt.set(budget, now() + holdersPauseMs);
		}
	};

	const draw = async (budget: string, tokens: number, deadline: number): Promise<boolean> =>
		await queue.draw(budget, tokens, deadline) === 'reserved';

	const isExhausted: RightsAcquirer['isExhausted'] = (budget, tokens) => isBudgetExhausted({
		rights: writer.rightsOf(budget), ageMs: writer.rightsAgeMs(budget), holder, tokens,
	});

	return {
		isExhausted,
		async acquire({budget, tokens, deadline, priority}) {
			let last: RightsSource | undefined;
			let hasReachedStore = false;
			while (!accounts.tryReserve(budget, tokens)) {
				last = decideRightsSource({
					last, isRetiring: isRetiring(), isAllocator: allocators.isAllocator(budget), hasReachedStore, mayDraw: balance.mayDraw(budget),
				});
				if (last === undefined) {
					return isExhausted(budget, tokens) ? 'exhausted' : 'unavailable';
				}

				if (last === 'allocators') {
					hasReachedStore = await borrower.borrow({
						budget, tokens, priority, source: last, peers: allocators.others(budget), deadline,
					});
				} else if (last === 'holders') {
					await borrowFromHolders(budget, tokens, deadline);
				} else if (await draw(budget, tokens, Math.min(deadline, now() + timeouts.storeMs))) {
					return 'reserved';
				}
			}

			return 'reserved';
		},
		async acquireForClient(budget, tokens) {
			if (accounts.available(budget) >= tokens) {
				return;
			}

			// What a waiting draw reserves is free again at once, for the loan.
			if (balance.mayDraw(budget) && await draw(budget, tokens, now() + timeouts.storeMs)) {
				accounts.apply(budget, {type: 'settled', reserved: tokens, used: 0});
				return;
			}

			if (!isRetiring()) {
				await borrowFromHolders(budget, tokens, now() + timeouts.gatherMs);
			}
		},
	};
};
