import type {Refusal} from '@deckwheel/core';
import type {Pair} from '../replica/pair.js';
import type {StoredResponse} from './stored-response.js';
import type {Claim} from './claim.js';
import type {Run} from './run.js';

/** The reply of a slot's primary to a `SlotRequest`. */
export type SlotReply =
	/** The runner may send the request to the endpoint until the run's `sendBy`. */
	| {readonly type: 'run'; readonly run: Run}
	/** A run of another attempt is open: the caller is to be attached to that run's stream. */
	| {readonly type: 'attach'; readonly run: Run}
	/** The request has finished: its recorded response, and its bill in tokens. */
	| {readonly type: 'answer'; readonly answer: StoredResponse; readonly bill: number}
	| {readonly type: 'refused'; readonly refusal: Refusal}
	/** The holder has too few rights for the run's worst case: it lacks `missing` tokens. */
	| {readonly type: 'short'; readonly missing: number}
	/** The run's outcome is recorded, or the report changed nothing. `bill` is the claim's bill in tokens, if it has one. */
	| {readonly type: 'settled'; readonly bill?: number}
	/** The claim of the request; absent when the ledger has none. */
	| {readonly type: 'found'; readonly claim?: Claim}
	/** `from` gave rights to the asking holder; `total` is all tokens that it ever gave to that holder on the budget. */
	| {readonly type: 'given'; readonly from: string; readonly total: number}
	| {readonly type: 'done'}
	/** This host is not the slot's primary. `pair` is the newest pair that it knows. */
	| {readonly type: 'not_owner'; readonly pair?: Pair};
