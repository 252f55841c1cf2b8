import {fingerprint} from '../gateway/fingerprint.js';
import type {Job} from './job.js';

/** Names what a caller asks for, whatever key it gives: the same on every host, and each time that it is sent again. Pure. */
export const fingerprintOfJob = ({place, fingerprint: content}: Pick<Job, 'place' | 'fingerprint'>): string => fingerprint(place.organisation, content);
