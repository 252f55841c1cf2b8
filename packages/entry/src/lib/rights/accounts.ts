import type {AccountEvent} from './account-event.js';
import type {HostAccount} from './host-account.js';

/** This host's accounts, by budget. */
export type Accounts = {
	readonly of: (budget: string) => HostAccount;
	/** Tokens that may still be reserved. */
	readonly available: (budget: string) => number;
	readonly step: (budget: string, event: AccountEvent) => void;
	/** Reserves tokens if there are enough. */
	readonly take: (budget: string, tokens: number) => boolean;
	readonly budgets: () => readonly string[];
};
