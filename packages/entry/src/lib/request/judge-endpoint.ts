import type {AttemptEnd} from './attempt-end.js';

type Inputs = {
	readonly end: AttemptEnd['type'];
	/** Whether the caller left or the deadline passed. */
	readonly isOver: boolean;
	/** Whether this host is too late with its own work to judge others. */
	readonly isOverloaded: boolean;
};

/**
Decides what a try tells of its endpoint. Pure. `failed` counts towards its ejection (`stepEndpoints` in routing).

A host that is late itself cannot tell whose fault a missing answer is; and an endpoint that refuses to run a request is
full, not broken. One whose address another process has is gone: were it only full, each request that chose it would be turned
away there until its entry goes.
*/
export const judgeEndpoint = ({end, isOver, isOverloaded}: Inputs): 'succeeded' | 'failed' | 'gone' | 'abandoned' => {
	switch (end) {
		case 'unsent':
		case 'lost': {
			return isOver || isOverloaded ? 'abandoned' : 'failed';
		}

		case 'not_run': {
			return 'abandoned';
		}

		case 'misdirected': {
			return 'gone';
		}

		case 'server_error': {
			return 'failed';
		}

		case 'whole':
		case 'streamed': {
			return 'succeeded';
		}
	}
};
