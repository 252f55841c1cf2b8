import type {Map as ImmutableMap} from 'immutable';
import type {Account} from '../account/account.js';
import type {Claim} from './claim.js';

/** Everything that one holder knows: its rights by budget, and its claims. */
export type Ledger = {
	/** The name of this holder: hall and generation. */
	readonly holder: string;
	/** Wall-clock time in ms before which this holder's memory of claims is incomplete. 0 when nothing was ever lost. */
	readonly completeSince: number;
	readonly accounts: ImmutableMap<string, Account>;
	readonly claims: ImmutableMap<string, Claim>;
};
