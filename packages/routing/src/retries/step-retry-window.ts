import type {RetryWindow} from './retry-window.js';

const emptyWindow: RetryWindow = {
	startedAt: 0, requests: 0, retries: 0, previousRequests: 0, previousRetries: 0,
};

const advanceWindow = (window: RetryWindow, windowMs: number, now: number): RetryWindow => {
	const age = now - window.startedAt;
	if (age < windowMs) {
		return window;
	}

	return age < 2 * windowMs
		? {
			startedAt: window.startedAt + windowMs, requests: 0, retries: 0, previousRequests: window.requests, previousRetries: window.retries,
		}
		: {...emptyWindow, startedAt: now};
};

/** What a service may get in repeats. */
type RetryLimit = {
	/** Repeats for each request of the window. */
	readonly retryRatio: number;
	readonly retryWindowMs: number;
};

type RetryDecision = {readonly window: RetryWindow; readonly isAllowed: boolean};

/**
Notes a request, or takes one repeat out of what the service may get.

`deckwheeld` spends a credit instead (`stepRetryBudget`); here the platform states a ratio over a sliding window and counts
repeats itself. Each host keeps to its own part without asking: the ratio of its own requests. The slack is nobody's, so it is left.
Repeats of up to two windows count against the requests of one, so that no sliding window holds too many.
*/
export const stepRetryWindow = (before: RetryWindow | undefined, event: 'request' | 'repeat', {retryRatio, retryWindowMs}: RetryLimit, now: number): RetryDecision => {
	const window = advanceWindow(before ?? {...emptyWindow, startedAt: now}, retryWindowMs, now);
	if (event === 'request') {
		return {window: {...window, requests: window.requests + 1}, isAllowed: true};
	}

	const maxRetries = retryRatio * Math.max(window.requests, window.previousRequests);
	const isAllowed = window.retries + window.previousRetries + 1 <= maxRetries;
	return {window: isAllowed ? {...window, retries: window.retries + 1} : window, isAllowed};
};
