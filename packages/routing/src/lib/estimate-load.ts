import type {EndpointState} from '../endpoints/endpoint-state.js';

/** The age from which a load report is ignored, in ms. */
const staleAfterMs = 10_000;

/** Estimates the requests now at an endpoint: this host's own, as counted, plus those of other hosts, as last reported. `now` is monotonic ms. */
export const estimateLoad = ({inFlight, report}: EndpointState, now: number): number => {
	const isFresh = report !== undefined && now - report.receivedAt < staleAfterMs;
	const othersLoad = isFresh ? Math.max(0, report.total - report.ownInFlight) : 0;
	return inFlight + othersLoad;
};
