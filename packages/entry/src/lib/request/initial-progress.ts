import type {RequestProgress} from './request-progress.js';

/** The progress of a request that was not sent to any endpoint yet. */
export const initialProgress: RequestProgress = {
	arrivals: 0, unsentAttempts: 0, misdirectedAttempts: 0, lostRuns: 0, tried: [], avoidedHalls: [], relayedEvents: 0, latest: undefined, begunBy: undefined, lastEventId: undefined,
};
