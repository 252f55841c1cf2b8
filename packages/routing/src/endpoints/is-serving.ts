import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointState} from './endpoint-state.js';

/** Whether an endpoint may be sent what is asked for, but for what this request tried and for rest. `now` is monotonic ms. Pure. */
export const isServing = ({info, isListed, ejectedUntil, failures, inFlight}: EndpointState, request: Pick<EndpointRequest, 'target' | 'hall' | 'lostHalls'>, now: number): boolean => {
	// After an ejection, one request at a time probes the endpoint.
	const isProbing = failures > 0 && ejectedUntil > 0 && inFlight > 0;
	const isInReach = info.hall === request.hall || !request.lostHalls?.has(info.hall);
	return isListed && info.serves.includes(request.target) && isInReach && !info.isLeaving && ejectedUntil <= now && !isProbing;
};
