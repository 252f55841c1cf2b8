import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {Accounts} from '../rights/accounts.js';
import {demandRate} from '../rights/demand-rate.js';
import type {Borrower} from './borrower.js';
import {isReportedExhausted} from './is-reported-exhausted.js';
import type {LoanClient} from './loan-client.js';
import type {LoanNeed} from './loan-need.js';
import type {LoanPauses} from './loan-pauses.js';
import {mostUrgentRank} from './most-urgent-rank.js';
import {planBorrowing} from './plan-borrowing.js';
import type {ReportedLeft} from './reported-left.js';

type Options = {
	readonly accounts: Accounts;
	readonly loanClient: LoanClient;
	readonly loanPauses: LoanPauses;
	/** The allocators of this hall, in the order in which they are asked for rights. */
	readonly allocatorsOf: (budget: string) => readonly ListedPeer[];
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** A loan that is being requested from peers. */
type PendingLoan = Pick<LoanNeed, 'source'> & {
	/** Resolves with whether one of the peers replied that it draws rights for this host and reaches the store. */
	readonly hasReachedStore: Promise<boolean>;
};

/**
Creates the borrower of a host. Only one loan for a budget is requested from peers at a time. Requests that arrive in the meantime wait for
the pending loan, and the next loan is requested for all of them at once.

The result of that loan is final for all requests that it was made for. If each of them requested another loan when this one brought too
little, the last one would wait for the loans of all others: 17.9 s were measured while peers did not reply, where 0.2 s are intended.

While peers have too little to lend of a budget (`LoanPauses`), no loan is requested from them.
*/
export const createBorrower = ({accounts, loanClient, loanPauses, allocatorsOf, log, now}: Options): Borrower => {
	const pendingLoans = new Map<string, PendingLoan>();
	/** Tokens that the request needed for which a loan was last requested, by budget. */
	const lastTokens = new Map<string, number>();
	/** The needs of all requests that wait for a loan, by budget. */
	const waitingNeeds = new Map<string, readonly LoanNeed[]>();

	/** What allocators last reported to be left, by budget, and when they were asked, in monotonic ms. */
	const reports = new Map<string, {readonly left: ReportedLeft; readonly askedAt: number}>();

	const planOf = (budget: string, tokens: number) => planBorrowing({
		available: accounts.available(budget), rate: demandRate(accounts.get(budget)), tokens,
	});

	const waitingFor = (budget: string): readonly LoanNeed[] => waitingNeeds.get(budget) ?? [];

	const sumTokens = (needs: readonly LoanNeed[]): number => {
		let sum = 0;
		for (const {tokens} of needs) {
			sum += tokens;
		}

		return sum;
	};

	/** Requests one loan for all requests that wait, and notes what came of it. */
	const requestForAll = async ({budget, source, peers, deadline}: LoanNeed): Promise<boolean> => {
		const askedAt = now();
		const allTokens = sumTokens(waitingFor(budget));
		const outcome = await loanClient.borrow({
			budget,
			tokens: planOf(budget, allTokens).wanted,
			demanded: accounts.get(budget).demanded + allTokens,
			rank: mostUrgentRank(waitingFor(budget)),
			peers,
			deadline,
			isEnough: () => accounts.available(budget) >= allTokens,
		});
		const isEnough = waitingFor(budget).some(({tokens}) => tokens <= accounts.available(budget));
		loanPauses.note(source, budget, {...outcome, isEnough});
		if (outcome.left) {
			reports.set(budget, {left: outcome.left, askedAt});
		} else if (outcome.hasReachedStore) {
			// An allocator that does not know what is left takes its earlier word back.
			reports.delete(budget);
		}

		return outcome.hasReachedStore;
	};

	/** Requests one loan for all requests that wait, the given one among them. */
	const borrowForAll = async (need: LoanNeed): Promise<boolean> => {
		const {budget, tokens, source} = need;
		lastTokens.set(budget, tokens);
		const hasReachedStore = requestForAll(need);
		pendingLoans.set(budget, {source, hasReachedStore});
		await hasReachedStore;
		pendingLoans.delete(budget);
		return hasReachedStore;
	};

	/** Waits for the pending loans of the budget, and requests one if none of them was made for this request and the request still lacks tokens. */
	const borrowInTurn = async (need: LoanNeed): Promise<boolean> => {
		const {budget, tokens, source, peers, deadline = Number.POSITIVE_INFINITY} = need;
		const startedAt = now();
		const firstPending = pendingLoans.get(budget);
		let hasReachedStore = false;
		for (let pending = firstPending; pending; pending = pendingLoans.get(budget)) {
			hasReachedStore = await pending.hasReachedStore;
			if (pending !== firstPending && pending.source === source) {
				return hasReachedStore;
			}
		}

		if (peers.length === 0 || accounts.available(budget) >= tokens) {
			return hasReachedStore;
		}

		const pause = loanPauses.current(source, budget);
		if (pause) {
			return pause.hasReachedStore;
		}

		// The time that the request waited for earlier loans is added to the deadline, so that its own loan has the full time.
		return borrowForAll({...need, deadline: deadline + now() - startedAt});
	};

	return {
		async borrow(need) {
			waitingNeeds.set(need.budget, [...waitingFor(need.budget), need]);
			const hasReachedStore = await borrowInTurn(need);
			// The need is removed only after the next loan was requested: the tokens lent for this request still count as available then, so they must
			// still count as needed too.
			waitingNeeds.set(need.budget, waitingFor(need.budget).filter(entry => entry !== need));
			return hasReachedStore;
		},
		isExhausted({budget, missing, version, isSkipped}) {
			const report = reports.get(budget);
			return isReportedExhausted({
				left: report?.left, askedMsAgo: now() - (report?.askedAt ?? 0), isSkipped, version, missing,
			});
		},
		collect: async () => loanClient.collect(),
		async handBackIdle(budget) {
			const [allocator] = allocatorsOf(budget);
			const {surplus} = planOf(budget, lastTokens.get(budget) ?? 0);
			if (surplus === 0 || !allocator || pendingLoans.has(budget)) {
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
