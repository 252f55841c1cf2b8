import type {HostRefusal} from '../admission/host-refusal.js';
import {hostRefusals} from '../admission/host-refusals.js';
import type {RequestResult} from './request-result.js';

/** What did not run is refused by the reason; without an entry here, no endpoint was in reach. */
const refusalsOfNotRun: ReadonlyMap<string, HostRefusal> = new Map<string, HostRefusal>([
	['deadline', hostRefusals.deadlinePassed],
	['host_stopping', hostRefusals.hostStopping],
	['request_blocked', hostRefusals.requestBlocked],
	['not_run', hostRefusals.overloaded],
]);

/**
Decides which refusal a caller gets whose request no endpoint answered whole. Pure.

| outcome | reason | status, code |
| --- | --- | --- |
| not_run | deadline | 503 deadline_exceeded |
| not_run | host_stopping: no time for a try | 503 host_stopping |
| not_run | request_blocked: it ended endpoints | 429 request_blocked |
| not_run | not_run: the endpoints said so | 503 overloaded |
| not_run | any other: none in reach | 503 no_endpoint |
| timed_out | | 504 deadline_exceeded |
| unknown, broken | | 502 endpoint_failed |
*/
export const refusalOfResult = ({outcome, reason}: Pick<RequestResult, 'outcome' | 'reason'>): HostRefusal => {
	if (outcome === 'not_run') {
		return refusalsOfNotRun.get(reason) ?? hostRefusals.noEndpoint;
	}

	return outcome === 'timed_out' ? hostRefusals.timedOut : hostRefusals.lost;
};
