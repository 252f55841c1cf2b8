import type {HostRefusal} from '../admission/host-refusal.js';
import {hostRefusals} from '../admission/host-refusals.js';
import {secondsUntil} from '../admission/seconds-until.js';
import type {RequestResult} from './request-result.js';

/** What did not run is refused by the reason; without an entry here, no endpoint was in reach. */
const refusalsOfNotRun: ReadonlyMap<string, HostRefusal> = new Map<string, HostRefusal>([
	['deadline', hostRefusals.deadlinePassed],
	['host_stopping', hostRefusals.hostStopping],
	['request_blocked', hostRefusals.requestBlocked],
	['endpoints_resting', hostRefusals.endpointsResting],
	['endpoints_limited', hostRefusals.endpointsLimited],
	['endpoints_cold', hostRefusals.endpointsCold],
	['endpoints_evacuated', hostRefusals.endpointsEvacuated],
	['not_run', hostRefusals.overloaded],
]);

/**
Decides which refusal a caller gets whose request no endpoint answered whole. Pure; `now` is monotonic ms.

| outcome | reason | status, code |
| --- | --- | --- |
| not_run | deadline | 503 deadline_exceeded |
| not_run | host_stopping: no time for a try | 503 host_stopping |
| not_run | request_blocked: it ended endpoints | 429 request_blocked |
| not_run | endpoints_resting: all asked for rest | 503 endpoints_resting |
| not_run | endpoints_limited: all limit their requests, and others have the permits | 503 endpoints_limited |
| not_run | endpoints_cold: all warm up, and others have their places | 503 endpoints_cold |
| not_run | endpoints_evacuated: their halls are to get nothing | 503 endpoints_evacuated |
| not_run | not_run: the endpoints said so | 503 overloaded |
| not_run | any other: none in reach | 503 no_endpoint |
| timed_out | | 504 deadline_exceeded |
| unknown, broken | | 502 endpoint_failed |
*/
export const refusalOfResult = ({outcome, reason, retryAt}: Pick<RequestResult, 'outcome' | 'reason' | 'retryAt'>, now: number): HostRefusal => {
	if (outcome === 'not_run') {
		const refusal = refusalsOfNotRun.get(reason) ?? hostRefusals.noEndpoint;
		return retryAt === undefined ? refusal : {...refusal, retryAfterSeconds: secondsUntil(retryAt, now)};
	}

	return outcome === 'timed_out' ? hostRefusals.timedOut : hostRefusals.lost;
};
