import type {EndpointState} from '../endpoints/endpoint-state.js';

/** A report older than this says nothing any more, in ms. */
const staleAfterMs = 10_000;

/** Requests now at an endpoint: this host's own, counted, and the others', as last reported. */
export const estimateLoad = ({inFlight, report}: EndpointState, now: number): number => {
	const isFresh = report !== undefined && now - report.receivedAt < staleAfterMs;
	const othersLoad = isFresh ? Math.max(0, report.total - report.ownInFlight) : 0;
	return inFlight + othersLoad;
};
