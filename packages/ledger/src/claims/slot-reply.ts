import type {Refusal} from '@deckwheel/core';
import type {Pair} from '../replica/pair.js';
import type {StoredResponse} from './stored-response.js';
import type {Claim} from './claim.js';
import type {Run} from './run.js';

/** What a slot's primary answers. */
export type SlotReply =
	/** The run may be sent, until its `sendBy`. */
	| {readonly type: 'run'; readonly run: Run}
	/** Another attempt runs already: its stream is to be attached to. */
	| {readonly type: 'attach'; readonly run: Run}
	/** It ran; here is the answer, and what it was billed. */
	| {readonly type: 'answer'; readonly answer: StoredResponse; readonly bill: number}
	| {readonly type: 'refused'; readonly refusal: Refusal}
	/** The holder lacks rights; `missing` tokens more are needed. */
	| {readonly type: 'short'; readonly missing: number}
	/** The run's end is recorded. `bill` is the claim's bill, if it has one. */
	| {readonly type: 'settled'; readonly bill?: number}
	| {readonly type: 'found'; readonly claim?: Claim}
	/** Rights were given, as the total ever given to the asking holder. */
	| {readonly type: 'given'; readonly from: string; readonly total: number}
	| {readonly type: 'done'}
	/** This host does not serve the slot. `pair` is the newest that it knows of. */
	| {readonly type: 'not_owner'; readonly pair?: Pair};
