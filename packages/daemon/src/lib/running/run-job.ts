import type {Refusal} from '@deckwheel/core';
import type {Job} from './job.js';

/** Runs a job to its end. Returns why it was refused, or nothing when the caller has the answer. */
export type RunJob = (job: Job) => Promise<Refusal | undefined>;
