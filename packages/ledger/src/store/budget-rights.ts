import type {HolderRights} from './holder-rights.js';

/** The record of one budget in the store. No draw raises the sum of all grants above `limit`. */
export type BudgetRights = {
	readonly organisation: string;
	/** Prepaid tokens: the total ever paid in. */
	readonly limit: number;
	/** The version of the configuration that set the limit; an older version does not change the limit. Absent when no configuration sets the limit. */
	readonly limitVersion?: number;
	/** The identifiers of the newest top-ups, so that a repeated top-up changes nothing. */
	readonly topUps: readonly string[];
	/** What the store records of each holder, by the holder's name. */
	readonly holders: Readonly<Record<string, HolderRights>>;
};
