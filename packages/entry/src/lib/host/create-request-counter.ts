import {onceResponseClosed} from '../relaying/once-response-closed.js';
import type {RequestCounter} from './request-counter.js';

/** How often a host that stops looks whether all requests have ended, in ms. */
const pollMs = 50;

/**
Creates the count of open requests.

@param now Monotonic ms.
*/
export const createRequestCounter = (now: () => number): RequestCounter => {
	let open = 0;
	return {
		add(res) {
			open++;
			onceResponseClosed(res, () => {
				open--;
			});
		},
		count: () => open,
		untilNone: async deadline => new Promise(resolve => {
			const poll = setInterval(() => {
				if (open === 0 || now() > deadline) {
					clearInterval(poll);
					resolve();
				}
			}, pollMs);
		}),
	};
};
