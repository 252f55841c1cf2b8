import {emptyAccount} from '../lib/empty-account.js';
import type {Ledger} from '../claims/ledger.js';
import type {Account} from './account.js';

/** The holder's account of a budget; an empty account when the ledger has none. */
export const accountOf = (ledger: Ledger, budget: string): Account =>
	ledger.accounts.get(budget) ?? emptyAccount;
