import type {AttemptEnd} from './attempt-end.js';
import type {NextStep} from './next-step.js';
import type {RequestProgress} from './request-progress.js';

/**
Tries at endpoints that could not be reached at all. They cost the endpoints nothing, so they need no place in the retry
budget; the bound keeps a request from calling at all endpoints of a lost hall.
*/
const maxUnsent = 4;

type Inputs = {
	readonly end: AttemptEnd['type'];
	/** With this try counted. */
	readonly progress: RequestProgress;
	/** The most endpoints that the request may reach, by its route. */
	readonly maxAttempts: number;
	/** Whether it may run more than once: a route that is repeatable, or a stream that can be taken up again. */
	readonly isRepeatable: boolean;
	/** Whether the caller left or the deadline passed. */
	readonly isOver: boolean;
};

const elsewhere = (needs: 'retry' | 'retry_and_rights', otherwise: 'give_up' | 'pass_on'): NextStep =>
	({type: 'send_elsewhere', needs, otherwise});

/**
Decides whether a request is sent to another endpoint, answered, or given up. Pure.

| how the try ended | may run once | may run again |
| --- | --- | --- |
| unsent | elsewhere, up to `maxUnsent` | the same |
| not run or misdirected | elsewhere | the same |
| lost or broken | give up | elsewhere, with rights for one more run |
| server error | pass it on | elsewhere with rights, or else pass it on |
| whole | pass it on | pass it on |

"Elsewhere" but for `unsent` needs time left, fewer arrivals than the route allows, and a place in the retry budget.
*/
export const decideNextStep = ({end, progress, maxAttempts, isRepeatable, isOver}: Inputs): NextStep => {
	const hasTriesLeft = !isOver && progress.arrivals < maxAttempts;
	const mayRunAgain = hasTriesLeft && isRepeatable;
	switch (end) {
		case 'unsent': {
			return progress.unsent < maxUnsent ? {type: 'send_elsewhere', needs: 'nothing', otherwise: 'give_up'} : {type: 'give_up'};
		}

		case 'not_run':
		case 'misdirected': {
			return hasTriesLeft ? elsewhere('retry', 'give_up') : {type: 'give_up'};
		}

		case 'lost': {
			return mayRunAgain ? elsewhere('retry_and_rights', 'give_up') : {type: 'give_up'};
		}

		case 'server_error': {
			return mayRunAgain ? elsewhere('retry_and_rights', 'pass_on') : {type: 'pass_on'};
		}

		case 'whole': {
			return {type: 'pass_on'};
		}

		case 'streamed': {
			return {type: 'finish'};
		}
	}
};
