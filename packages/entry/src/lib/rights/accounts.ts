import type {AccountEvent} from './account-event.js';
import type {HostAccount} from './host-account.js';

/** This host's accounts, by budget. */
export type Accounts = {
	readonly get: (budget: string) => HostAccount;
	/** Tokens that may still be reserved. */
	readonly available: (budget: string) => number;
	readonly apply: (budget: string, event: AccountEvent) => void;
	/** Reserves tokens if there are enough. */
	readonly tryReserve: (budget: string, tokens: number) => boolean;
	/** Moves up to `tokens` to a peer, at most `share` of what is available. Returns what went, and all that ever went to it. */
	readonly lend: (budget: string, loan: {readonly to: string; readonly tokens: number; readonly share: number}) => {readonly lent: number; readonly total: number};
	readonly budgets: () => readonly string[];
};
