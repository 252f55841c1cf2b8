import type {HostRefusal} from '../admission/host-refusal.js';
import {hostRefusals} from '../admission/host-refusals.js';
import {secondsUntil} from '../admission/seconds-until.js';
import type {RequestResult} from './request-result.js';

/** The refusals of requests that did not run, by the `reason` of the result. Any other reason means that no endpoint was in reach. */
const refusalsOfNotRun: ReadonlyMap<string, HostRefusal> = new Map<string, HostRefusal>([
	['deadline', hostRefusals.deadlinePassed],
	['host_stopping', hostRefusals.hostStopping],
	['request_blocked', hostRefusals.requestBlocked],
	['endpoints_resting', hostRefusals.endpointsResting],
	['endpoints_limited', hostRefusals.endpointsLimited],
	['endpoints_cold', hostRefusals.endpointsCold],
	['endpoints_evacuated', hostRefusals.endpointsEvacuated],
	['stream_origin_unknown', hostRefusals.streamOriginUnknown],
	['stream_origin_unreadable', hostRefusals.streamOriginUnreadable],
	['stream_version_gone', hostRefusals.streamVersionGone],
	['not_run', hostRefusals.overloaded],
]);

/**
Decides which refusal the caller of a request gets that got no whole response from an endpoint. Pure. `now` is in monotonic ms.

| outcome | reason | status, code |
| --- | --- | --- |
| not_run | deadline | 503 deadline_exceeded |
| not_run | host_stopping: the shutdown leaves no time for an attempt | 503 host_stopping |
| not_run | request_blocked: endpoints crashed while they ran the request | 429 request_blocked |
| not_run | endpoints_resting: all endpoints asked for a backoff | 503 endpoints_resting |
| not_run | endpoints_limited: all endpoints are rate limited, and other requests have the permits | 503 endpoints_limited |
| not_run | endpoints_cold: all endpoints warm up, and other requests use their warm-up capacity | 503 endpoints_cold |
| not_run | endpoints_evacuated: the halls of all endpoints are evacuated | 503 endpoints_evacuated |
| not_run | stream_origin_unknown: the caller takes a stream up, and nobody knows which of several versions began it | 503 stream_origin_unknown |
| not_run | stream_origin_unreadable: the same, and the store, which may know, could not be read | 503 stream_origin_unreadable |
| not_run | stream_version_gone: the version that began the stream takes no requests any more | 503 stream_version_gone |
| not_run | not_run: the endpoints said that they did not run the request | 503 overloaded |
| not_run | any other: no endpoint was in reach | 503 no_endpoint |
| timed_out | | 504 deadline_exceeded |
| unknown, broken | | 502 endpoint_failed |
*/
export const refusalOfResult = ({outcome, reason, retryAt}: Pick<RequestResult, 'outcome' | 'reason' | 'retryAt'>, now: number): HostRefusal => {
	if (outcome === 'not_run') {
		const refusal = refusalsOfNotRun.get(reason) ?? hostRefusals.noEndpoint;
		return retryAt === undefined ? refusal : {...refusal, retryAfterSeconds: secondsUntil(retryAt, now), isRoomGradual: false};
	}

	return outcome === 'timed_out' ? hostRefusals.timedOut : hostRefusals.lost;
};
