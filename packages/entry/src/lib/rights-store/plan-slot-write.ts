import {ownValue} from '@deckwheel/core';
import {
	planDraw, type BudgetRights, type DrawPlan, type DrawRequest, type RightsObject, type StoreView, transferred,
} from '@deckwheel/ledger';
import {demandRate} from '../rights/demand-rate.js';
import type {HostAccount} from '../rights/host-account.js';
import {prepareRights} from './prepare-rights.js';

/** No epoch is needed: the store's revisions order the writes of all hosts, and a holder's name identifies a single incarnation. */
const noEpoch = 0;

type Inputs = {
	/** The name of this host. */
	readonly host: string;
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	/** The slot's object as last read. */
	readonly rights: RightsObject;
	/** Prepaid tokens of the slot's budgets, by budget, as configured. */
	readonly limits: ReadonlyMap<string, number>;
	/** The version of the configuration that states the limits. */
	readonly version: number;
	/** The era of the store in which the object is written; by default the first. */
	readonly era?: number;
	readonly accountOf: (budget: string) => HostAccount;
	/** Whether this host writes an entry of its own for a budget; hosts that only borrow do not. */
	readonly isEntryNeeded: (budget: string) => boolean;
	/** Returns the function that decides how many tokens to draw on a budget, given the store's record of it. */
	readonly drawAmountOf: (budget: string) => (view: StoreView, rights: BudgetRights) => number;
};

const createDrawRequest = (budget: string, rights: BudgetRights, {holder, era = 0, accountOf, drawAmountOf}: Inputs): DrawRequest => {
	const account = accountOf(budget);
	return {
		budget,
		granted: account.granted,
		transferred: transferred(account),
		settled: account.settled,
		rate: demandRate(account),
		billed: account.settled,
		reserved: account.reserved,
		written: {era, sequence: (ownValue(rights.holders, holder)?.written?.sequence ?? 0) + 1},
		wants: view => drawAmountOf(budget)(view, rights),
	};
};

/** Plans one write of a slot's object. The write updates the limits, retires this host's ended incarnations, and states what this host holds, has spent and draws. Pure. */
export const planSlotWrite = (inputs: Inputs): DrawPlan => {
	const {host, holder, limits, version, era = 0, isEntryNeeded} = inputs;
	const prepared = prepareRights(inputs.rights, {
		host, holder, limits, version, era,
	});
	const requests = [...limits.keys()].filter(budget => isEntryNeeded(budget)).flatMap(budget => {
		const rights = ownValue(prepared.budgets, budget);
		return rights ? [createDrawRequest(budget, rights, inputs)] : [];
	});
	return planDraw(prepared, holder, noEpoch, requests);
};
