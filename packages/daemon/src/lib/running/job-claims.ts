import type {Result} from '@deckwheel/core';
import type {Run, SlotReply} from '@deckwheel/ledger';
import type {Place} from '../placing/place.js';
import type {Job} from './job.js';
import type {RunEnd} from './run-end.js';

/** What a job asks of the slot that keeps its key. */
export type JobClaims = {
	/** Claims the key, and with it a run at a place. A claim whose reply was lost is withdrawn. */
	readonly claim: (job: Job, place: Place) => Promise<Result<SlotReply, 'unreachable'>>;
	/** Reads the record of the key. */
	readonly lookUp: (job: Job) => Promise<Result<SlotReply, 'unreachable'>>;
	/** Tells how a run ended. `isFinal`: no other run follows. */
	readonly settle: (job: Job, run: Run, end: RunEnd, isFinal: boolean) => Promise<void>;
};
