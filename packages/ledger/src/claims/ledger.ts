import type {Map as ImmutableMap} from 'immutable';
import type {Account} from '../account/account.js';
import type {Claim} from './claim.js';

/** All that one holder records: its accounts by budget, and its claims by `claimId`. */
export type Ledger = {
	/** The name of this holder (`holderName`): hall and generation. */
	readonly holder: string;
	/** Wall-clock time in ms before which claims may be missing from this ledger. 0 when no earlier ledger was lost. */
	readonly completeSince: number;
	readonly accounts: ImmutableMap<string, Account>;
	readonly claims: ImmutableMap<string, Claim>;
};
