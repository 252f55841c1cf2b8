import {httpStatus} from '@deckwheel/core';
import type {EndedAttempt} from './ended-attempt.js';
import {hasServed} from './has-served.js';
import type {HostContext} from './host-context.js';
import {judgeEndpoint} from './judge-endpoint.js';

/** Reports to the endpoint chooser how an attempt ended, and to the hall monitor when it reached no endpoint. */
export const reportAttemptEnd = ({end, endpoint: {id, hall}, startedAt, isOver, outputTokens}: EndedAttempt, host: HostContext): void => {
	const verdict = judgeEndpoint({
		end: end.type,
		excess: end.type === 'lost' ? end.excess : undefined,
		isServerError: end.type === 'relayed' && end.status >= httpStatus.internalServerError,
		isOver,
		isOverloaded: host.isOverloaded(),
	});
	host.chooser.note(verdict === 'succeeded'
		? {
			type: 'succeeded', endpoint: id, durationMs: host.now() - startedAt, outputTokens,
		}
		: {type: verdict, endpoint: id, startedAt});
	if (hasServed(end)) {
		host.chooser.noteServed(id, host.now() - startedAt);
	}

	if (end.type === 'misdirected') {
		host.endpointEnds.noteEnded(id, 'misdirected');
	}

	if (end.type === 'unsent' && !isOver) {
		host.halls.noteConnectFailure(hall);
	}
};
