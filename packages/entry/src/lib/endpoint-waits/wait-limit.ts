import type {Bounds} from '../../adapter/bounds.js';
import type {Route} from '../../config/route.js';

type Inputs = {
	readonly route: Pick<Route, 'goalMs' | 'maxPauseMs'>;
	/** When the caller sent its request or got the last event of its stream, in monotonic ms. */
	readonly heardAt: number;
	/** The deadline of the request, in monotonic ms. */
	readonly deadline: number;
	readonly eventTimeout: Bounds['eventTimeout'];
};

/**
Returns until when a stream that has begun may wait for an endpoint, in monotonic ms: the caller still waits for as long then as the first event should
take. `undefined` where it is not known how long callers wait. Pure.
*/
export const waitLimit = ({route: {goalMs, maxPauseMs = 0}, heardAt, deadline, eventTimeout}: Inputs): number | undefined => {
	if (!eventTimeout) {
		return undefined;
	}

	const patienceMs = Math.max(eventTimeout.ms, eventTimeout.goals * goalMs, eventTimeout.pauses * maxPauseMs);
	return Math.min(heardAt + patienceMs, deadline) - goalMs;
};
