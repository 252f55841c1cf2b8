import type {StoredResponse} from './stored-response.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';

/**
A change to a ledger. Ops are decided by the primary, then applied by both
hosts of the pair in the same order, so both always hold the same ledger.
*/
export type LedgerOp =
	/** A new claim and its first run. */
	| {readonly type: 'open'; readonly budget: string; readonly key: string; readonly fingerprint: string; readonly repeatable: boolean; readonly keepUntil: number; readonly run: Run}
	/** A further run of a claim. */
	| {readonly type: 'rerun'; readonly claim: string; readonly run: Run}
	/** A run ended. `bill` is present when this ends the claim. */
	| {readonly type: 'settle'; readonly claim: string; readonly run: number; readonly outcome: RunOutcome; readonly served: number; readonly bill?: number; readonly answer?: StoredResponse}
	/** The store confirmed this total for the budget. */
	| {readonly type: 'grant'; readonly budget: string; readonly granted: number}
	/** Rights go back to the store; they are gone here before the store hears of it. */
	| {readonly type: 'give_back'; readonly budget: string; readonly amount: number}
	/** Rights leave for another holder, as a total ever given to it. */
	| {readonly type: 'give'; readonly budget: string; readonly to: string; readonly total: number}
	/** Rights came from another holder, as a total ever received from it. */
	| {readonly type: 'receive'; readonly budget: string; readonly from: string; readonly total: number}
	/** The outcome of a run stayed unknown past all deadlines: its reservation is charged for good. */
	| {readonly type: 'strand'; readonly claim: string; readonly run: number}
	/** Claims whose time is over are dropped. */
	| {readonly type: 'forget'; readonly claims: readonly string[]};
