import type {RequestProgress} from './request-progress.js';

/** A request that was not sent yet. */
export const noProgress: RequestProgress = {
	arrivals: 0, unsent: 0, lostRuns: 0, tried: [], avoidedHalls: [], events: 0, lastEventId: undefined,
};
