import type {BudgetRights, HolderRights} from '@deckwheel/ledger';

const remainingOf = ({granted, transferred, settled}: HolderRights): number => granted + transferred - settled;

/**
Decides in which order the holders of a budget are asked for rights: by the store's record, the holders with the most unspent tokens come
first. Pure.

@param self The name of the asking host as a holder of rights, which is left out.
*/
export const rankHolders = ({holders}: BudgetRights, self: string): readonly string[] =>
	Object.entries(holders)
		.filter(([name]) => name !== self)
		.sort(([, a], [, b]) => remainingOf(b) - remainingOf(a))
		.map(([name]) => name);
