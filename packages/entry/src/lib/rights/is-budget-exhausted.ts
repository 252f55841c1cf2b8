import type {BudgetRights} from '@deckwheel/ledger';
import {maxProofAgeMs} from './max-proof-age-ms.js';
import type {HostAccount} from './host-account.js';
import {mostTokensLeft} from './most-tokens-left.js';

type Inputs = {
	/** The store's record of the budget; `undefined` if this host has never read it. */
	readonly rights: BudgetRights | undefined;
	/** Age of that record, in ms. */
	readonly ageMs: number;
	/** Whether this host did not ask the store for the request, because of a pause or since it asked an allocator. */
	readonly isSkipped: boolean;
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	/** This host's own account of the budget. */
	readonly account: HostAccount;
	/** Whether this host draws the budget's rights for hosts that do not write to the store. */
	readonly hasClients: boolean;
	/** What the request needs, in tokens. */
	readonly tokens: number;
};

/**
Decides whether a request that lacks rights is refused for good (status 402) or the caller should retry later (429). Pure.

A final refusal needs proof: a fresh record of the store by which too few tokens are neither spent nor reserved for the worst case of
open requests. Tokens that hosts hold and may still lend count as left. If reservations of open requests counted as left too, an
organisation that sends many times its usual demand would be told to retry over and over.
*/
export const isBudgetExhausted = ({rights, ageMs, isSkipped, holder, account, hasClients, tokens}: Inputs): boolean =>
	rights !== undefined && ageMs < maxProofAgeMs(isSkipped) && mostTokensLeft({
		rights, holder, account, hasClients,
	}) < tokens;
