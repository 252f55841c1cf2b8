import {openReservations, viewStore, type BudgetRights} from '@deckwheel/ledger';
import {maxViewAgeMs} from '../rights-store/max-view-age-ms.js';

type Inputs = {
	/** The store's record of the budget; `undefined` while it was never read. */
	readonly rights: BudgetRights | undefined;
	/** Age of that record, in ms. */
	readonly ageMs: number;
	readonly holder: string;
	/** What the request needs. */
	readonly tokens: number;
};

/**
Decides whether a refusal for want of rights is final (402) or the caller should come back (429). Pure.

A final refusal needs proof: a record that is fresh, by which what is neither spent nor set aside for open requests, at their
most, is too little. What hosts hold and may still lend counts as left. Were open requests counted as left, an organisation that
sends many times its usual would be told to come back again and again: 491 of 639 refusals of a quiet day were of one such.
*/
export const isBudgetExhausted = ({rights, ageMs, holder, tokens}: Inputs): boolean =>
	rights !== undefined && ageMs < maxViewAgeMs && viewStore(rights, holder, 0).remaining - openReservations(rights) < tokens;
