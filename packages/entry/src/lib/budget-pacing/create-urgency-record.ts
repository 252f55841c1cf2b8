import {rateMemorySeconds} from '../rights/rate-memory-seconds.js';

/** Demand of one rank on one budget: decayed sums of requests and of their tokens, as of `at` (monotonic ms). */
type RankDemand = {readonly requests: number; readonly tokens: number; readonly at: number};

/** The demand on one budget by requests that are more urgent than a rank. */
type UrgentDemand = {
	/** Its part of all demand on the budget at this host, 0 to 1. */
	readonly share: number;
	/** What one of these requests needs, in tokens, in the mean; 0 where there are none. */
	readonly meanTokens: number;
};

/** What this host's requests asked of each budget lately, by how urgent they were. */
type UrgencyRecord = {
	/** Notes a request that got its rights. `priority`: 0 is the most urgent. */
	readonly note: (budget: string, priority: number, tokens: number) => void;
	readonly moreUrgent: (budget: string, priority: number) => UrgentDemand;
};

/** Less than this of a request, decayed, is none. */
const negligibleRequests = 0.05;

/**
Creates a record of no demand.

@param now Monotonic ms.
*/
export const createUrgencyRecord = (now: () => number): UrgencyRecord => {
	const budgets = new Map<string, Map<number, RankDemand>>();

	const decayed = ({requests, tokens, at}: RankDemand): RankDemand => {
		const part = Math.exp(-(now() - at) / 1000 / rateMemorySeconds);
		return {requests: requests * part, tokens: tokens * part, at: now()};
	};

	return {
		note(budget, priority, tokens) {
			const ranks = budgets.get(budget) ?? new Map<number, RankDemand>();
			const before = decayed(ranks.get(priority) ?? {requests: 0, tokens: 0, at: now()});
			ranks.set(priority, {requests: before.requests + 1, tokens: before.tokens + tokens, at: now()});
			budgets.set(budget, ranks);
		},
		moreUrgent(budget, priority) {
			const urgent = {requests: 0, tokens: 0};
			let total = 0;
			for (const [rank, demand] of budgets.get(budget) ?? []) {
				const {requests, tokens} = decayed(demand);
				total += tokens;
				if (rank < priority) {
					urgent.requests += requests;
					urgent.tokens += tokens;
				}
			}

			return urgent.requests < negligibleRequests
				? {share: 0, meanTokens: 0}
				: {share: urgent.tokens / total, meanTokens: urgent.tokens / urgent.requests};
		},
	};
};
