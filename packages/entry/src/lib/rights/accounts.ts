import type {AccountEvent} from './account-event.js';
import type {HostAccount} from './host-account.js';

/** The accounts of this host's rights, one for each budget. Amounts are tokens. */
export type Accounts = {
	readonly get: (budget: string) => HostAccount;
	/** Tokens that this host may still reserve. */
	readonly available: (budget: string) => number;
	readonly apply: (budget: string, event: AccountEvent) => void;
	/** Reserves `tokens` if as many are available, and returns whether it did. */
	readonly tryReserve: (budget: string, tokens: number) => boolean;
	/** Gives a peer up to `tokens`, at most the part `share` (0 to 1) of what is available. Returns what was given now (`lent`), and all that this host ever gave to that peer (`total`). */
	readonly lend: (budget: string, loan: {readonly to: string; readonly tokens: number; readonly share: number}) => {readonly lent: number; readonly total: number};
	readonly budgets: () => readonly string[];
};
