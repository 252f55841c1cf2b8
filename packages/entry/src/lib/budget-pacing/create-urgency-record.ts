import {rateTimeConstantSeconds} from '../rights/rate-time-constant-seconds.js';

/** Demand of one rank on one budget: decayed sums of requests and of their tokens, as of `at` (monotonic ms). */
type PriorityDemand = {readonly requests: number; readonly tokens: number; readonly updatedAt: number};

/** The demand on one budget by requests that are more urgent than a rank. */
type MoreUrgentDemand = {
	/** Its part of all demand on the budget at this host, 0 to 1. */
	readonly share: number;
	/** What one of these requests needs, in tokens, in the mean; 0 where there are none. */
	readonly meanTokens: number;
};

/** What this host's requests asked of each budget lately, by how urgent they were. */
type UrgencyRecord = {
	/** Notes a request that got its rights. `priority`: 0 is the most urgent. */
	readonly note: (budget: string, priority: number, tokens: number) => void;
	readonly moreUrgentDemand: (budget: string, priority: number) => MoreUrgentDemand;
};

/** Less than this of a request, decayed, is none. */
const negligibleRequests = 0.05;

/**
Creates a record of no demand.

@param now Monotonic ms.
*/
export const createUrgencyRecord = (now: () => number): UrgencyRecord => {
	const budgets = new Map<string, Map<number, PriorityDemand>>();

	const decayed = ({requests, tokens, updatedAt}: PriorityDemand): PriorityDemand => {
		const decayFactor = Math.exp(-(now() - updatedAt) / 1000 / rateTimeConstantSeconds);
		return {requests: requests * decayFactor, tokens: tokens * decayFactor, updatedAt: now()};
	};

	return {
		note(budget, priority, tokens) {
			const byPriority = budgets.get(budget) ?? new Map<number, PriorityDemand>();
			const before = decayed(byPriority.get(priority) ?? {requests: 0, tokens: 0, updatedAt: now()});
			byPriority.set(priority, {requests: before.requests + 1, tokens: before.tokens + tokens, updatedAt: now()});
			budgets.set(budget, byPriority);
		},
		moreUrgentDemand(budget, priority) {
			const urgent = {requests: 0, tokens: 0};
			let total = 0;
			for (const [recordedPriority, demand] of budgets.get(budget) ?? []) {
				const {requests, tokens} = decayed(demand);
				total += tokens;
				if (recordedPriority < priority) {
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
