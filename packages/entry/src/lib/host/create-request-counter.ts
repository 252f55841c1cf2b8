import {onceResponseClosed} from '../relaying/once-response-closed.js';
import type {RequestCounter} from './request-counter.js';

/** The interval at which `untilNone` checks whether all requests have ended, in ms. */
const pollMs = 50;

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
		untilNone: async deadline => new Promise(resolve => {
			const poll = setInterval(() => {
				if (openCount === 0 || now() > deadline) {
					clearInterval(poll);
					resolve();
				}
			}, pollMs);
		}),
	};
};
