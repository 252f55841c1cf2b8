import type {SizeEstimate} from './size-estimate.js';

/** The least weight of a new sample. The average then reflects about the last ten requests, so that it follows callers whose requests change within seconds. */
const minSampleWeight = 0.1;

/** Adds the sizes of one more request, in bytes, to an estimate. The first requests count equally, so that a poor first guess is forgotten at once. Pure. */
export const stepSizeEstimate = ({requestBytes, responseBytes, count}: SizeEstimate, sample: Omit<SizeEstimate, 'count'>): SizeEstimate => {
	const weight = Math.max(minSampleWeight, 1 / (count + 1));
	return {
		requestBytes: requestBytes + ((sample.requestBytes - requestBytes) * weight),
		responseBytes: responseBytes + ((sample.responseBytes - responseBytes) * weight),
		count: count + 1,
	};
};
