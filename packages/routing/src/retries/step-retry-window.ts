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

/** The limit on the retries of a service. */
type RetryLimit = {
	/** Retries allowed for each request within the window. */
	readonly retryRatio: number;
	/** The length of the window, in ms. */
	readonly retryWindowMs: number;
};

type RetryDecision = {readonly window: RetryWindow; readonly isAllowed: boolean};

/**
Counts a request of a service, or decides whether the service gets one more retry, and counts an allowed one. Pure.

`deckwheeld` spends a credit instead (`stepRetryBudget`). Entry hosts use this function, because their platform states a ratio of
retries to requests over a sliding window, and counts retries itself. Each host keeps to that ratio of its own requests, without
asking the other hosts. The platform also tolerates a slack beyond the ratio, but for all hosts together, so no host uses any of it.

The retries of the current and the previous window together are compared with the requests of that one of the two windows that has
more, so that no sliding window holds too many retries.

@param before `undefined` before the service's first request at this host.
@param now Monotonic ms.
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
