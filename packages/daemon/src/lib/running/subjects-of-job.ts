import type {RequestSubjects} from '@deckwheel/poison';
import {fingerprintOfJob} from './fingerprint-of-job.js';
import type {Job} from './job.js';

/** What ends of engines under a job are held against: the request, and the parts of its prompt that others may share. Pure. */
export const subjectsOfJob = (job: Pick<Job, 'place' | 'fingerprint' | 'sharedParts'>): RequestSubjects =>
	({fingerprint: () => fingerprintOfJob(job), parts: job.sharedParts});
