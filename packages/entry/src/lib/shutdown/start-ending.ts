import type {Schedule} from '../../adapter/schedule.js';
import type {ShutdownPlan} from '../host/shutdown-plan.js';
import type {RequestGroups} from './create-request-groups.js';
import {excessRequests} from './excess-requests.js';

/** The interval at which the open requests are counted, in ms. */
const pollMs = 50;

type Options = {
	/** The groups of the requests whose responses begin when they are whole. */
	readonly groups: Pick<RequestGroups, 'end'>;
	/** The groups of requests of streams. */
	readonly streams: Pick<RequestGroups, 'end'>;
	/** The number of open requests of both. */
	readonly open: () => number;
	readonly plan: Pick<ShutdownPlan, 'endExcessFrom' | 'endStreamsFrom' | 'waitForFinalResponsesUntil'>;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Ends open requests in the last part of a shutdown, as many at a time as the host could not end any more if it waited longer. Returns the
function that stops this.
*/
export const startEnding = ({groups, streams, open, plan, schedule, now}: Options): (() => void) => {
	let cancel: () => void;
	/** How many requests are open once those that were ended have their responses. */
	let left = Number.POSITIVE_INFINITY;
	const poll = (): void => {
		const count = open();
		const time = now();
		left = Math.min(left, count);
		// Requests that were ended count as open until their responses are written.
		const excess = Math.max(0, excessRequests({open: count, endBy: plan.waitForFinalResponsesUntil, now: time}) - (count - left));
		const ended = groups.end(excess, left) + (time >= plan.endStreamsFrom ? streams.end(excess, left) : 0);
		left -= ended;
		cancel = schedule(pollMs, poll);
	};

	cancel = schedule(plan.endExcessFrom - now(), poll);
	return () => {
		cancel();
	};
};
