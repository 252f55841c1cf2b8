import type {PaceBucket} from './pace-bucket.js';

/** The latest samples of the speed of one endpoint, in buckets by the time at which they came, the newest bucket first. */
export type PaceWindow = readonly PaceBucket[];
