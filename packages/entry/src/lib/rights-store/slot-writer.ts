import type {BudgetRights} from '@deckwheel/ledger';

/** Moves rights between this host's accounts and the store, one write at a time for each slot. */
export type SlotWriter = {
	/** The store's side of a budget as last seen, with the limit of the configuration in force. */
	readonly rightsOf: (budget: string) => BudgetRights | undefined;
	/** Age of what `rightsOf` tells, in ms. */
	readonly ageOf: (budget: string) => number;
	readonly slotOf: (budget: string) => number;
	/** Looks at a slot's object, cheaply and without a write, unless it is known from a moment ago. */
	readonly refresh: (slot: number) => Promise<void>;
	readonly isBusy: (slot: number) => boolean;
	/** Resolves when no write of the slot is under way. */
	readonly untilIdle: (slot: number) => Promise<void>;
	/** Writes what the accounts of a slot hold and want; joins a write that is under way. `true`: the store took it. */
	readonly flush: (slot: number) => Promise<boolean>;
};
