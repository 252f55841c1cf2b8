import type {Refusal, RunState} from '@deckwheel/core';
import type {StoredResponse, Run} from '@deckwheel/ledger';

/** What is to be done with a key whose record was read. */
export type Recalled =
	/** It may be claimed, again or for the first time. `ran` tells whether the request ran so far. */
	| {readonly type: 'claim'; readonly ran: RunState}
	| {readonly type: 'refuse'; readonly refusal: Refusal}
	/** The request has an answer already. */
	| {readonly type: 'deliver'; readonly answer: StoredResponse}
	/** Another attempt of the same request runs now. */
	| {readonly type: 'attach'; readonly run: Run};
