import {available as availableOf} from '@deckwheel/ledger';
import type {Accounts} from './accounts.js';
import {emptyHostAccount} from './empty-host-account.js';
import type {HostAccount} from './host-account.js';
import {stepAccount} from './step-account.js';

/** Creates the accounts of a host that holds no rights yet. A budget without an event has an empty account. */
export const createAccounts = (): Accounts => {
	const accounts = new Map<string, HostAccount>();
	const get: Accounts['get'] = budget => accounts.get(budget) ?? emptyHostAccount;
	const available: Accounts['available'] = budget => availableOf(get(budget));
	const apply: Accounts['apply'] = (budget, event) => {
		accounts.set(budget, stepAccount(get(budget), event));
	};

	return {
		get,
		available,
		apply,
		tryReserve(budget, tokens) {
			const isEnough = available(budget) >= tokens;
			if (isEnough) {
				apply(budget, {type: 'reserved', tokens});
			}

			return isEnough;
		},
		lend(budget, loan) {
			const givenTo = (): number => get(budget).given.get(loan.to) ?? 0;
			const before = givenTo();
			apply(budget, {type: 'lent', ...loan});
			const total = givenTo();
			return {lent: total - before, total};
		},
		budgets: () => [...accounts.keys()],
	};
};
