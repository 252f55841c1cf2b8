import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {Accounts} from '../rights/accounts.js';
import {demandRate} from '../rights/demand-rate.js';
import type {Borrower} from './borrower.js';
import type {LoanClient} from './loan-client.js';
import type {LoanNeed} from './loan-need.js';
import {rankOfNeeds} from './rank-of-needs.js';
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

/** A question that is under way. */
type Turn = Pick<LoanNeed, 'source'> & {
	/** Resolves with whether a peer answered that draws for this host and reaches the store. */
	readonly hasReachedStore: Promise<boolean>;
};

/**
Creates the borrower of a host. Only one question for a budget is under way at a time; requests that come meanwhile wait
for what it brings, and the next question asks for all of them at once.

What that one brings counts for all of them: were each to ask again when it brought too little, the last of them would wait
for the questions of all others (17.9 s, while peers did not answer, where a fifth of a second is meant).
*/
export const createBorrower = ({accounts, loanClient, allocatorsOf, log, now}: Options): Borrower => {
	const underWay = new Map<string, Turn>();
	const lastAsked = new Map<string, number>();
	/** All requests that wait, by budget. */
	const waiting = new Map<string, readonly LoanNeed[]>();

	const planOf = (budget: string, tokens: number) => planBorrowing({
		available: accounts.available(budget), rate: demandRate(accounts.get(budget)), tokens,
	});

	const waitingFor = (budget: string): readonly LoanNeed[] => waiting.get(budget) ?? [];

	const tokensOf = (needs: readonly LoanNeed[]): number => {
		let sum = 0;
		for (const {tokens} of needs) {
			sum += tokens;
		}

		return sum;
	};

	/** Asks for all that wait, this request among them. */
	const askForAll = async ({budget, tokens, source, peers, deadline}: LoanNeed): Promise<boolean> => {
		lastAsked.set(budget, tokens);
		const all = tokensOf(waitingFor(budget));
		const hasReachedStore = loanClient.borrow({
			budget,
			tokens: planOf(budget, all).wanted,
			demanded: accounts.get(budget).demanded + all,
			rank: rankOfNeeds(waitingFor(budget)),
			peers,
			deadline,
			isEnough: () => accounts.available(budget) >= all,
		});
		underWay.set(budget, {source, hasReachedStore});
		await hasReachedStore;
		underWay.delete(budget);
		return hasReachedStore;
	};

	/** Waits while questions are under way, and asks if none of them asked for this request and it still lacks something. */
	const borrowInTurn = async (need: LoanNeed): Promise<boolean> => {
		const {budget, tokens, source, peers, deadline = Number.POSITIVE_INFINITY} = need;
		const askedAt = now();
		const earlier = underWay.get(budget);
		let hasReachedStore = false;
		for (let turn = earlier; turn; turn = underWay.get(budget)) {
			hasReachedStore = await turn.hasReachedStore;
			if (turn !== earlier && turn.source === source) {
				return hasReachedStore;
			}
		}

		if (peers.length === 0 || accounts.available(budget) >= tokens) {
			return hasReachedStore;
		}

		// Waiting for the questions before this one takes nothing off the time for this one.
		return askForAll({...need, deadline: deadline + now() - askedAt});
	};

	return {
		async borrow(need) {
			waiting.set(need.budget, [...waitingFor(need.budget), need]);
			const hasReachedStore = await borrowInTurn(need);
			// Later than the next question begins: what was lent for this request counts as available until it takes it.
			waiting.set(need.budget, waitingFor(need.budget).filter(entry => entry !== need));
			return hasReachedStore;
		},
		async handBackIdle(budget) {
			const [allocator] = allocatorsOf(budget);
			const {surplus} = planOf(budget, lastAsked.get(budget) ?? 0);
			if (surplus === 0 || !allocator || underWay.has(budget)) {
				return;
			}

			const {lent, total} = accounts.lend(budget, {to: allocator.holder, tokens: surplus, share: 1});
			log('rights_handed_back', {to: allocator.holder, budget, tokens: lent});
			if (await loanClient.handBack(allocator, budget, total) === 'refused') {
				accounts.apply(budget, {type: 'not_taken', by: allocator.holder, tokens: lent});
			}
		},
	};
};
