import type {PaceWindow} from './pace-window.js';

/**
The time that one bucket covers, in ms. A slow spell that is no longer falls into two buckets at most, which the median over
`maxBuckets` buckets leaves out.
*/
const bucketMs = 700;

/** The number of buckets: a lasting change of speed decides the median after four of them. */
const maxBuckets = 7;

/** The most samples of a bucket: a bound on memory. */
const maxSamples = 32;

/** Adds a sample to the samples of an endpoint; `undefined` stands for an endpoint without samples. */
export const stepPaceWindow = (window: PaceWindow | undefined, sample: number, now: number): PaceWindow => {
	const [newest, ...older] = window ?? [];
	if (newest === undefined || now - newest.startedAt >= bucketMs) {
		return [{startedAt: now, samples: [sample]}, ...(window ?? [])].slice(0, maxBuckets);
	}

	return newest.samples.length < maxSamples ? [{...newest, samples: [...newest.samples, sample]}, ...older] : window!;
};
