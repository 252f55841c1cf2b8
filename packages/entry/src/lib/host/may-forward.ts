import type {ShutdownPlan} from './shutdown-plan.js';

type Inputs = {
	/** The plan of the host's shutdown; `undefined` while the host is not shutting down. */
	readonly shutdownPlan: ShutdownPlan | undefined;
	/** The deadline of the request: when its caller stops waiting, or when the time of its route ends, if that is earlier. In monotonic ms. */
	readonly deadline: number;
	/** Monotonic ms. */
	readonly now: number;
};

/**
Decides whether a host may forward a request to an endpoint. Pure.

| state of the host | requests that it forwards |
| --- | --- |
| not shutting down | all |
| shutting down, before `forwardAllUntil` | all |
| shutting down, after that and before `respondBy` | those with a deadline no later than `respondBy` |
| shutting down, later, or once `isForwardingOver` | none |

Once the decision for a request is `false`, it stays `false`. The request is what counts, and not its connection, because a request can be
late in many ways: sent on a connection that was accepted before, with a slow body, after a wait for rights, or after an attempt at another
endpoint.
*/
export const mayForward = ({shutdownPlan, deadline, now}: Inputs): boolean => {
	if (!shutdownPlan) {
		return true;
	}

	return !shutdownPlan.isForwardingOver && (now < shutdownPlan.forwardAllUntil || (now < shutdownPlan.respondBy && deadline <= shutdownPlan.respondBy));
};
