import type {Account} from './account.js';
import {emptyAccount} from './lib/empty-account.js';
import type {Ledger} from './ledger.js';

/** The account of a budget; an empty one when the holder has none. */
export const accountOf = (ledger: Ledger, budget: string): Account =>
	ledger.accounts.get(budget) ?? emptyAccount;
