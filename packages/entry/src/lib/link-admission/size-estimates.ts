import type {SizeEstimate} from './size-estimate.js';

/** The sizes that a host expects of the requests of each route. */
export type SizeEstimates = {
	/** The estimate for a route, by the route's name. For a route without requests so far, the mean over all routes. */
	readonly of: (route: string) => SizeEstimate;
	/** Notes the sizes of one more request of a route, in bytes. */
	readonly note: (route: string, sample: Omit<SizeEstimate, 'count'>) => void;
};
