import type {Account} from '../account/account.js';
import type {Claim} from './claim.js';

/** A ledger as plain data, for snapshot messages between the hosts of a pair. */
export type PlainLedger = {
	readonly holder: string;
	readonly completeSince: number;
	readonly accounts: ReadonlyArray<readonly [string, Omit<Account, 'received' | 'given'> & {
		readonly received: ReadonlyArray<readonly [string, number]>;
		readonly given: ReadonlyArray<readonly [string, number]>;
	}]>;
	readonly claims: readonly Claim[];
};
