import {available as availableOf} from '@deckwheel/ledger';
import type {Accounts} from './accounts.js';
import {emptyHostAccount} from './empty-host-account.js';
import type {HostAccount} from './host-account.js';
import {stepAccount} from './step-account.js';

/** Creates empty accounts. */
export const createAccounts = (): Accounts => {
	const accounts = new Map<string, HostAccount>();
	const of: Accounts['of'] = budget => accounts.get(budget) ?? emptyHostAccount;
	const available: Accounts['available'] = budget => availableOf(of(budget));
	const step: Accounts['step'] = (budget, event) => {
		accounts.set(budget, stepAccount(of(budget), event));
	};

	return {
		of,
		available,
		step,
		take(budget, tokens) {
			const isEnough = available(budget) >= tokens;
			if (isEnough) {
				step(budget, {type: 'reserved', tokens});
			}

			return isEnough;
		},
		lend(budget, loan) {
			const givenTo = (): number => of(budget).given.get(loan.to) ?? 0;
			const before = givenTo();
			step(budget, {type: 'lent', ...loan});
			const total = givenTo();
			return {lent: total - before, total};
		},
		budgets: () => [...accounts.keys()],
	};
};
