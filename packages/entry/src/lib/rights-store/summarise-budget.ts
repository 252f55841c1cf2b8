import {unallocated, type BudgetRights} from '@deckwheel/ledger';
import {retiredHolder} from './retired-holder.js';

/** Where the tokens of a budget are, by its record in the store. Amounts are tokens. */
type BudgetSummary = {
	/** Prepaid by the organisation. */
	readonly limit: number;
	/** Held and spent by no host. Negative when endpoints used more than was reserved for their requests. */
	readonly unallocated: number;
	/** Charged for requests that have ended. */
	readonly charged: number;
	/** Reserved for open requests: their worst case. */
	readonly open: number;
	/** Held by hosts and not reserved. */
	readonly held: number;
	/** What ended incarnations of hosts had neither charged nor given back when they last wrote: the reservations of requests that were cut off, and rights that no host can use any more. */
	readonly stranded: number;
	/**
	Lent to hosts that do not write to the store, less what these handed back: spent by their requests, or still held by them. In a large hall
	this is most of what is spent.
	*/
	readonly lent: number;
};

/**
Summarises a budget. Pure. The record states each host's tokens as of the host's last write. All amounts add up to the limit, unless endpoints used
more than was reserved, or a loan between two hosts was recorded by one of them only.
*/
export const summariseBudget = (rights: BudgetRights): BudgetSummary => {
	const sums = {
		charged: 0, open: 0, held: 0, stranded: 0, lent: 0,
	};
	for (const [name, {granted, transferred, settled, billed, reserved = 0}] of Object.entries(rights.holders)) {
		sums.charged += billed;
		sums.lent -= transferred;
		if (name === retiredHolder) {
			sums.stranded += Math.max(0, granted + transferred - billed);
		} else {
			sums.open += reserved;
			sums.held += Math.max(0, granted + transferred - settled - reserved);
		}
	}

	return {limit: rights.limit, unallocated: unallocated(rights), ...sums};
};
