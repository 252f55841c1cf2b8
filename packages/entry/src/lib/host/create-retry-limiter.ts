import {stepRetryWindow, type RetryWindow} from '@deckwheel/routing';
import type {Bounds} from '../../adapter/bounds.js';
import type {RetryLimiter} from './retry-limiter.js';

/**
Creates the retry limiter of this host. `stepRetryWindow` decides, with a window of its own for each service.

@param now Monotonic ms.
*/
export const createRetryLimiter = (bounds: Bounds, now: () => number): RetryLimiter => {
	const windows = new Map<string, RetryWindow>();
	const step = (service: string, event: 'request' | 'repeat'): boolean => {
		const {window, isAllowed} = stepRetryWindow(windows.get(service), event, bounds, now());
		windows.set(service, window);
		return isAllowed;
	};

	return {
		noteRequest(service) {
			step(service, 'request');
		},
		mayRetry: service => step(service, 'repeat'),
	};
};
