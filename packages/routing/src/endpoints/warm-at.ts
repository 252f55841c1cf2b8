import type {EndpointState} from './endpoint-state.js';
import type {WarmupRules} from './warmup-rules.js';

/**
Returns the instant at which an endpoint is warm, in monotonic ms, which is in the past for a warm endpoint. Pure.

It is the later of two instants: the one that the list states, and the end of the warm-up that is assumed to begin when the endpoint's
hall is reopened.
*/
export const warmAt = ({info}: EndpointState, {reopenedAt, warmupMs}: WarmupRules): number =>
	Math.max(info.coldUntil ?? 0, (reopenedAt.get(info.hall) ?? Number.NEGATIVE_INFINITY) + warmupMs);
