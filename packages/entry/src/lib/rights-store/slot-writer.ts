import type {BudgetRights} from '@deckwheel/ledger';

/** Moves rights between this host's accounts and the store, with at most one flush in flight for each slot. */
export type SlotWriter = {
	/** The store's record of a budget as this host last read it, with the limit of the configuration in force; `undefined` if it was never read. */
	readonly rightsOf: (budget: string) => BudgetRights | undefined;
	/** The age of the record that `rightsOf` returns, in ms. */
	readonly rightsAgeMs: (budget: string) => number;
	/** The slot in whose object a budget is stored. */
	readonly slotOf: (budget: string) => number;
	/** Peeks at a slot's object, which is cheap, unless the object was read a moment ago. Does nothing for a slot that was never read. */
	readonly refresh: (slot: number) => Promise<void>;
	/** Whether a flush of the slot is in flight. */
	readonly isBusy: (slot: number) => boolean;
	/** Resolves when the flush of the slot that is in flight has ended, or at once if there is none. */
	readonly untilIdle: (slot: number) => Promise<void>;
	/** Writes what the accounts of a slot's budgets hold and want to draw; joins a flush that is in flight. Resolves with whether the store accepted the write. */
	readonly flush: (slot: number) => Promise<boolean>;
};
