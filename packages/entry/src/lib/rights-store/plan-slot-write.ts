import {
	planDraw, type BudgetRights, type DrawPlan, type DrawRequest, type RightsObject, type StoreView, transferred,
} from '@deckwheel/ledger';
import {demandRate} from '../rights/demand-rate.js';
import type {HostAccount} from '../rights/host-account.js';
import {prepareRights} from './prepare-rights.js';

/** Writes of hosts are ordered by the store's revisions, and a holder's name by itself tells one life; no epoch is needed. */
const noEpoch = 0;

type Inputs = {
	readonly host: string;
	readonly holder: string;
	/** The object as last seen. */
	readonly rights: RightsObject;
	/** Prepaid tokens of the slot's budgets, by the configuration of this version. */
	readonly limits: ReadonlyMap<string, number>;
	readonly version: number;
	/** The era of the store in which this is written; by default the first. */
	readonly era?: number;
	readonly accountOf: (budget: string) => HostAccount;
	/** Whether this host has anything to say of a budget: hosts that only borrow do not. */
	readonly isConcerned: (budget: string) => boolean;
	/** Decides the draw on a budget once the store's side is known. */
	readonly wants: (budget: string) => (view: StoreView, rights: BudgetRights) => number;
};

const drawRequest = (budget: string, rights: BudgetRights, {holder, era = 0, accountOf, wants}: Inputs): DrawRequest => {
	const account = accountOf(budget);
	return {
		budget,
		granted: account.granted,
		transferred: transferred(account),
		settled: account.settled,
		rate: demandRate(account),
		billed: account.settled,
		reserved: account.reserved,
		written: {era, sequence: (rights.holders[holder]?.written?.sequence ?? 0) + 1},
		wants: view => wants(budget)(view, rights),
	};
};

/** Works out one write of a slot: limits and ended lives brought up to date, and what this host holds, spent and draws. Pure. */
export const planSlotWrite = (inputs: Inputs): DrawPlan => {
	const {host, holder, limits, version, era = 0, isConcerned} = inputs;
	const prepared = prepareRights(inputs.rights, {
		host, holder, limits, version, era,
	});
	const requests = [...limits.keys()]
		.filter(budget => prepared.budgets[budget] !== undefined && isConcerned(budget))
		.map(budget => drawRequest(budget, prepared.budgets[budget]!, inputs));
	return planDraw(prepared, holder, noEpoch, requests);
};
