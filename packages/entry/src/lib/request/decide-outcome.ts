import type {RequestProgress} from './request-progress.js';
import type {RequestResult} from './request-result.js';

type Inputs = {
	readonly progress: Pick<RequestProgress, 'lostRuns'>;
	/** Why it ended from outside, if it did. */
	readonly endedBy: 'deadline' | 'caller_left' | undefined;
	/** Whether the caller has got a part of an answer. */
	readonly hasAnswerBegun: boolean;
};

/**
Decides what is known of a request that no endpoint answered whole. Pure.

`not_run` is a promise: it needs that no run was lost. Tries that reached no endpoint, and those that an endpoint said it
did not run, are no runs.
*/
export const decideOutcome = ({progress, endedBy, hasAnswerBegun}: Inputs): Exclude<RequestResult['outcome'], 'answered'> => {
	if (endedBy === 'caller_left') {
		return 'caller_left';
	}

	if (hasAnswerBegun) {
		return 'broken';
	}

	if (progress.lostRuns === 0) {
		return 'not_run';
	}

	return endedBy === 'deadline' ? 'timed_out' : 'unknown';
};
