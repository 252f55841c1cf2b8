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
	const poll = (): void => {
		const count = open();
		const time = now();
		const excess = excessRequests({open: count, endBy: plan.waitForFinalResponsesUntil, now: time});
		groups.end(excess, count);
		if (time >= plan.endStreamsFrom) {
			streams.end(excess, count);
		}

		cancel = schedule(pollMs, poll);
	};

	cancel = schedule(plan.endExcessFrom - now(), poll);
	return () => {
		cancel();
	};
};
