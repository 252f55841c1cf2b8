import type {BudgetRights} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import {sumUpBudget} from './sum-up-budget.js';

/** A budget that is short has one line in this time, in ms: enough to follow how it ends, and nothing beside the lines of its refused requests. */
const lineGapMs = 2000;

type Options = {
	/** The store's side of a budget as last seen; `undefined` at hosts that only borrow. */
	readonly rightsOf: (budget: string) => BudgetRights | undefined;
	/** Age of what `rightsOf` tells, in ms. */
	readonly ageOf: (budget: string) => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** What is logged of budgets that requests were refused on. */
type ShortageLog = {
	/** @param why Why the request was refused. */
	readonly note: (budget: string, why: string) => void;
};

/** Creates the log that says where a budget's tokens are when a request is refused for want of rights. It owns when it told of each. */
export const createShortageLog = ({rightsOf, ageOf, log, now}: Options): ShortageLog => {
	const nextLineAt = new Map<string, number>();
	return {
		note(budget, why) {
			const rights = rightsOf(budget);
			if (!rights || now() < (nextLineAt.get(budget) ?? 0)) {
				return;
			}

			nextLineAt.set(budget, now() + lineGapMs);
			log('budget_short', {
				budget, refused: why, ...sumUpBudget(rights), age_ms: Math.round(ageOf(budget)),
			});
		},
	};
};
