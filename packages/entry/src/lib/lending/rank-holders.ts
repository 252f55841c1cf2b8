import type {BudgetRights, HolderRights} from '@deckwheel/ledger';

const left = ({granted, transferred, settled}: HolderRights): number => granted + transferred - settled;

/**
Decides in which order the holders of a budget are asked for rights: those with most left first, by the store's record of
them. Pure.

@param self The asker, which is left out.
*/
export const rankHolders = ({holders}: BudgetRights, self: string): readonly string[] =>
	Object.entries(holders)
		.filter(([name]) => name !== self)
		.sort(([, a], [, b]) => left(b) - left(a))
		.map(([name]) => name);
