import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {Accounts} from '../rights/accounts.js';
import {demandRate} from '../rights/demand-rate.js';
import type {Borrower} from './borrower.js';
import type {LoanClient} from './loan-client.js';
import {planBorrowing} from './plan-borrowing.js';

type Options = {
	readonly accounts: Accounts;
	readonly loanClient: LoanClient;
	/** The allocators of this hall, in the order in which they are asked. */
	readonly allocatorsOf: (budget: string) => readonly ListedPeer[];
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the borrower of a host. Only one question for a budget is under way at a time; requests that come meanwhile wait
for what it brings, and the next question asks for all of them at once.
*/
export const createBorrower = ({accounts, loanClient, allocatorsOf, log, now}: Options): Borrower => {
	const underWay = new Map<string, Promise<boolean>>();
	const lastAsked = new Map<string, number>();
	/** Tokens of all requests that wait, by budget. */
	const waiting = new Map<string, number>();

	const planOf = (budget: string, tokens: number) => planBorrowing({
		available: accounts.available(budget), rate: demandRate(accounts.of(budget)), tokens,
	});

	const waitFor = (budget: string, tokens: number): void => {
		waiting.set(budget, (waiting.get(budget) ?? 0) + tokens);
	};

	const borrowForAll = async (budget: string, tokens: number, peers: readonly ListedPeer[], deadline: number | undefined): Promise<boolean> => {
		const askedAt = now();
		let hasReachedStore = false;
		for (let running = underWay.get(budget); running; running = underWay.get(budget)) {
			hasReachedStore = await running;
		}

		if (peers.length === 0 || accounts.available(budget) >= tokens) {
			return hasReachedStore;
		}

		lastAsked.set(budget, tokens);
		const all = waiting.get(budget) ?? tokens;
		const turn = loanClient.borrow({
			budget,
			tokens: planOf(budget, all).wanted,
			demanded: accounts.of(budget).demanded + all,
			peers,
			// Waiting for the question before this one takes nothing off the time for this one.
			deadline: deadline === undefined ? undefined : deadline + now() - askedAt,
			isEnough: () => accounts.available(budget) >= all,
		});
		underWay.set(budget, turn);
		hasReachedStore = await turn;
		underWay.delete(budget);
		return hasReachedStore;
	};

	return {
		async borrow(budget, tokens, peers, deadline) {
			waitFor(budget, tokens);
			const hasReachedStore = await borrowForAll(budget, tokens, peers, deadline);
			waitFor(budget, -tokens);
			return hasReachedStore;
		},
		handBackIdle(budget) {
			const [allocator] = allocatorsOf(budget);
			const {surplus} = planOf(budget, lastAsked.get(budget) ?? 0);
			if (surplus === 0 || !allocator || underWay.has(budget)) {
				return;
			}

			accounts.step(budget, {
				type: 'lent', to: allocator.holder, tokens: surplus, share: 1,
			});
			loanClient.handBack(allocator.address, budget, accounts.of(budget).given.get(allocator.holder) ?? 0);
			log('rights_handed_back', {to: allocator.holder, budget, tokens: surplus});
		},
	};
};
