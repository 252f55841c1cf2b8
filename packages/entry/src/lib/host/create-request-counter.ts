import {onceResponseClosed} from '../relaying/once-response-closed.js';
import type {RequestCounter} from './request-counter.js';
import {untilNone} from './until-none.js';

/**
Creates the counter of open requests, at 0.

@param now Monotonic ms.
*/
export const createRequestCounter = (now: () => number): RequestCounter => {
	let openCount = 0;
	return {
		add(res) {
			openCount++;
			onceResponseClosed(res, () => {
				openCount--;
			});
		},
		count: () => openCount,
		untilNone: async deadline => untilNone(() => openCount, deadline, now),
	};
};
