import type {BudgetRights} from '@deckwheel/ledger';

/** Hosts that hold rights on a budget, this one among them. */
export const holdersOf = ({holders}: BudgetRights, self: string): number =>
	Object.keys(holders).filter(name => name.includes('#') && name !== self).length + 1;
