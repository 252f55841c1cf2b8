import type {StoredResponse} from './stored-response.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';

/**
A change to a ledger. The primary decides the ops, and both hosts of the pair
apply them in the same order, so that both hold the same ledger.
*/
export type LedgerOp =
	/** A new claim and its first run. */
	| {readonly type: 'open'; readonly budget: string; readonly key: string; readonly fingerprint: string; readonly repeatable: boolean; readonly keepUntil: number; readonly run: Run}
	/** A further run of a claim. */
	| {readonly type: 'rerun'; readonly claim: string; readonly run: Run}
	/** A run ended. `served` and `bill` are tokens; `bill` is present when this outcome bills the claim, `answer` when the run finished. */
	| {readonly type: 'settle'; readonly claim: string; readonly run: number; readonly outcome: RunOutcome; readonly served: number; readonly bill?: number; readonly answer?: StoredResponse}
	/** The store confirmed this total grant on the budget. */
	| {readonly type: 'grant'; readonly budget: string; readonly granted: number}
	/** The holder returns rights to the store. The ledger loses them before the store is told, so that they are never counted twice. */
	| {readonly type: 'give_back'; readonly budget: string; readonly amount: number}
	/** The holder gives rights to another holder; `total` is all that it ever gave to that holder. */
	| {readonly type: 'give'; readonly budget: string; readonly to: string; readonly total: number}
	/** The holder received rights from another holder; `total` is all that it ever received from that holder. */
	| {readonly type: 'receive'; readonly budget: string; readonly from: string; readonly total: number}
	/** The outcome of a run is still unknown when its claim expires: the run's whole reservation is charged. */
	| {readonly type: 'strand'; readonly claim: string; readonly run: number}
	/** Expired claims are dropped. */
	| {readonly type: 'forget'; readonly claims: readonly string[]};
