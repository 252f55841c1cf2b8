import type {AttemptEnd} from './attempt-end.js';
import type {EndedAttempt} from './ended-attempt.js';
import {hasServed} from './has-served.js';
import type {HostContext} from './host-context.js';
import type {RequestInputs} from './request-inputs.js';

/** Whether the endpoint gave a whole response, and so did not crash while it ran the request. */
const hasEndpointResponded = ({type}: AttemptEnd): boolean => type === 'whole' || type === 'streamed' || type === 'relayed' || type === 'server_error';

/**
Reports to the detector of poison requests, which make endpoints crash, whether a run was lost or got a response.

After a run of a suspected request was lost, it resolves once it is known whether the endpoint crashed: the next attempt waits for that, so
that it does not crash another endpoint that the first crash could have spared.
*/
export const reportToPoisonDetector = async ({id, subjects}: RequestInputs, {end, endpoint, startedAt, isOver}: Omit<EndedAttempt, 'outputTokens'>, {poison}: HostContext): Promise<void> => {
	if (hasEndpointResponded(end)) {
		poison.noteCompletedRun(subjects, hasServed(end));
	} else if (end.type === 'lost' && !isOver) {
		const verdict = poison.noteLostRun({
			...subjects, id, events: end.relayed?.count ?? 0, endpoint, sentAt: startedAt,
		});
		if (poison.isSuspected(subjects)) {
			await verdict;
		}
	}
};
