import {rateTimeConstantSeconds} from '../rights/rate-time-constant-seconds.js';

/** The demand of one priority on one budget: sums of requests and of their tokens, decayed up to `updatedAt` (monotonic ms). */
type PriorityDemand = {readonly requests: number; readonly tokens: number; readonly updatedAt: number};

/** The demand on one budget by requests that are more urgent than a given priority. */
type MoreUrgentDemand = {
	/** Its part of the whole demand on the budget at this host, by tokens, 0 to 1. */
	readonly share: number;
	/** The mean tokens of such a request; 0 if there are none. */
	readonly meanTokens: number;
};

/** The recent demand of a host's requests on each budget, by their priority. */
type UrgencyRecord = {
	/** Records a request that got its rights. `priority` 0 is the most urgent. */
	readonly note: (budget: string, priority: number, tokens: number) => void;
	/** Sums up the demand of requests that are more urgent than `priority`. */
	readonly moreUrgentDemand: (budget: string, priority: number) => MoreUrgentDemand;
};

/** A decayed number of requests below this counts as no request. */
const negligibleRequests = 0.05;

/**
Creates an empty record of demand. It decays with the time constant `rateTimeConstantSeconds`.

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
