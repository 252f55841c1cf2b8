import type {AttemptEnd} from './attempt-end.js';

type Inputs = {
	/** How the attempt at the endpoint ended. */
	readonly end: AttemptEnd['type'];
	/** What a lost response did that was too large to be held. */
	readonly excess?: (AttemptEnd & {readonly type: 'lost'})['excess'];
	/** Whether a response that was relayed is an error of the endpoint. By default `false`. */
	readonly isServerError?: boolean;
	/** Whether the caller has left or the deadline has passed: then this host aborts the attempt itself. */
	readonly isOver: boolean;
	/** Whether this host is too late with its own work to judge endpoints. */
	readonly isOverloaded: boolean;
};

const judgeLost = (excess: Inputs['excess'], isOver: boolean, isOverloaded: boolean): 'failed' | 'abandoned' => {
	if (excess === 'too_long') {
		return 'failed';
	}

	return isOverloaded || excess === 'no_room' || (isOver && excess !== 'no_end') ? 'abandoned' : 'failed';
};

/**
Decides what an attempt says of its endpoint. Pure. `failed` and `unreached` count towards the ejection of the endpoint (`stepEndpoints` in the
package routing); `abandoned` says nothing of the endpoint.

A host that is late with its own work cannot tell whether a missing response is its own fault or the endpoint's. An endpoint that
refuses to run a request is full, not broken. An endpoint whose address another process has is gone: if it counted as full, requests
would still be sent to the address, and be refused there, until the endpoint's entry leaves the list. A response that was longer than any may be is wrong whatever
the time; one that still came at the deadline, more of it than is held of one, is taken for one without an end, also since its time was over.
*/
export const judgeEndpoint = ({end, excess, isServerError = false, isOver, isOverloaded}: Inputs): 'succeeded' | 'failed' | 'unreached' | 'gone' | 'abandoned' => {
	switch (end) {
		case 'unsent': {
			return isOver || isOverloaded ? 'abandoned' : 'unreached';
		}

		case 'lost': {
			return judgeLost(excess, isOver, isOverloaded);
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

		case 'relayed': {
			return isServerError ? 'failed' : 'succeeded';
		}

		case 'whole':
		case 'streamed': {
			return 'succeeded';
		}
	}
};
