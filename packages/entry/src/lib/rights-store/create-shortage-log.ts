import type {BudgetRights} from '@deckwheel/ledger';
import type {Log} from '../../adapter/log.js';
import {summariseBudget} from './summarise-budget.js';

/** The least time between two `budget_short` lines of one budget, in ms: often enough to follow how the budget runs out, and few lines compared with those of its refused requests. */
const logIntervalMs = 2000;

type Options = {
	/** The store's record of a budget as this host last read it; `undefined` at hosts that only borrow, since they have not read it. */
	readonly rightsOf: (budget: string) => BudgetRights | undefined;
	/** The age of the record that `rightsOf` returns, in ms. */
	readonly rightsAgeMs: (budget: string) => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** The log of budgets on which requests were refused. */
type ShortageLog = {
	/**
	Logs where the budget's tokens are, unless that was logged a moment ago.

	@param reason Why the request was refused.
	*/
	readonly note: (budget: string, reason: string) => void;
};

/** Creates the log that tells where a budget's tokens are when a request is refused for lack of rights. It remembers when each budget may be logged next. */
export const createShortageLog = ({rightsOf, rightsAgeMs, log, now}: Options): ShortageLog => {
	const nextLineAt = new Map<string, number>();
	return {
		note(budget, reason) {
			const rights = rightsOf(budget);
			if (!rights || now() < (nextLineAt.get(budget) ?? 0)) {
				return;
			}

			nextLineAt.set(budget, now() + logIntervalMs);
			log('budget_short', {
				budget, refused: reason, ...summariseBudget(rights), age_ms: Math.round(rightsAgeMs(budget)),
			});
		},
	};
};
