import type {HolderRights} from './holder-rights.js';

/** One budget in the store. The sum of all grants never exceeds `limit`. */
export type BudgetRights = {
	readonly organisation: string;
	/** Prepaid tokens: everything ever paid in. */
	readonly limit: number;
	/** The version of the configuration that set the limit, where one does. An older version does not change it. */
	readonly limitVersion?: number;
	/** The newest top-ups by identifier, so that a repeated one changes nothing. */
	readonly topUps: readonly string[];
	readonly holders: Readonly<Record<string, HolderRights>>;
};
