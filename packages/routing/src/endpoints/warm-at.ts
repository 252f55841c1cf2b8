import type {EndpointState} from './endpoint-state.js';
import type {WarmupRules} from './warmup-rules.js';

/** When an endpoint is warm, in monotonic ms: by its list entry, or by the time since its hall was reopened. In the past once it is warm. Pure. */
export const warmAt = ({info}: EndpointState, {reopenedAt, warmupMs}: WarmupRules): number =>
	Math.max(info.coldUntil ?? 0, (reopenedAt.get(info.hall) ?? Number.NEGATIVE_INFINITY) + warmupMs);
