import type {SizeEstimate} from './size-estimate.js';
import type {SizeEstimates} from './size-estimates.js';
import {stepSizeEstimate} from './step-size-estimate.js';

/** What is expected before any request was seen: the sizes of a short chat completion. Expecting more would refuse callers of a host that has room. */
const initialEstimate: SizeEstimate = {requestBytes: 1000, responseBytes: 4000, count: 0};

/** The number of routes that are remembered. Configurations add and remove routes, and the names of removed ones must not pile up. */
const maxRoutes = 1000;

/** Creates the estimates of a host that has seen no request. */
export const createSizeEstimates = (): SizeEstimates => {
	const estimates = new Map<string, SizeEstimate>();
	let overall = initialEstimate;
	return {
		of: route => estimates.get(route) ?? overall,
		note(route, sample) {
			const next = stepSizeEstimate(estimates.get(route) ?? {...overall, count: 0}, sample);
			overall = stepSizeEstimate(overall, sample);
			// The names stay in the order of their last request, so that the first one was unused for the longest time.
			estimates.delete(route);
			estimates.set(route, next);
			if (estimates.size > maxRoutes) {
				const [oldest] = estimates.keys();
				estimates.delete(oldest!);
			}
		},
	};
};
