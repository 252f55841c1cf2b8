import type {ReplyTracker} from './reply-tracker.js';

/** What arrived over a link within this time, in ms, shows that its peer is in reach: longer than any request waits for its reply. */
const inReachMs = 1500;

/**
Creates the tracker of a host that asked no peer yet.

@param now Monotonic ms.
*/
export const createReplyTracker = (now: () => number): ReplyTracker => {
	/** When the first request of those without a reply since the last reply ended, in ms. */
	let unansweredSince: number | undefined;
	/** When a request last ended without a reply although its peer was in reach, in ms. */
	let lateAt = Number.NEGATIVE_INFINITY;
	return {
		noteAnswered() {
			unansweredSince = undefined;
		},
		noteUnanswered(quietMs) {
			unansweredSince ??= now();
			if (quietMs !== undefined && quietMs <= inReachMs) {
				lateAt = now();
			}
		},
		lateMs: () => unansweredSince === undefined || now() - lateAt > inReachMs ? 0 : now() - unansweredSince,
	};
};
