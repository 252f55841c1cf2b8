import type {RequestProgress} from './request-progress.js';
import type {RequestResult} from './request-result.js';

type Inputs = {
	readonly progress: Pick<RequestProgress, 'lostRuns'>;
	/** What ended the request early; `undefined` where nothing did. */
	readonly endedBy: 'deadline' | 'caller_left' | undefined;
	/** Whether the caller has got a part of a response. */
	readonly hasResponseBegun: boolean;
};

/**
Decides the outcome of a request that got no whole response from an endpoint. Pure.

`not_run` promises the caller that no endpoint ran the request, so no run may be lost. Attempts that reached no endpoint, and
attempts whose endpoint says that it did not run the request, are no runs.
*/
export const decideOutcome = ({progress, endedBy, hasResponseBegun}: Inputs): Exclude<RequestResult['outcome'], 'answered'> => {
	if (endedBy === 'caller_left') {
		return 'caller_left';
	}

	if (hasResponseBegun) {
		return 'broken';
	}

	if (progress.lostRuns === 0) {
		return 'not_run';
	}

	return endedBy === 'deadline' ? 'timed_out' : 'unknown';
};
