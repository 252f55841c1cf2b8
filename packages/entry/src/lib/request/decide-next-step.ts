import type {AttemptEnd} from './attempt-end.js';
import type {NextStep} from './next-step.js';
import type {RequestProgress} from './request-progress.js';

/**
The most attempts of one request that may reach no endpoint: they fail before a connection is open, or another process has the
address. The route's limit does not count them, so this bound keeps a request from calling every endpoint of an unreachable hall, or of an
old list.
*/
const maxFutileAttempts = 4;

type Inputs = {
	/** How the attempt ended. */
	readonly end: AttemptEnd['type'];
	/** The progress of the request, with this attempt counted. */
	readonly progress: RequestProgress;
	/** The most endpoints that the request may reach, as its route sets. An endpoint whose life has ended is not reached. */
	readonly maxAttempts: number;
	/** Whether the request may run more than once: its route is repeatable, or its stream can be resumed. */
	readonly isRetryable: boolean;
	/** Whether the caller has left or the deadline has passed. */
	readonly isOver: boolean;
};

const sendElsewhere = (needs: 'retry' | 'retry_and_rights', otherwise: 'give_up' | 'pass_on'): NextStep =>
	({type: 'send_elsewhere', needs, otherwise});

/** Whether another run can go on where the caller is. An empty id is none: it takes back the one before. */
const canGoOn = ({relayedEvents, lastEventId, isPartRelayed = false}: RequestProgress): boolean => !isPartRelayed && (relayedEvents === 0 || Boolean(lastEventId));

/**
Decides after an attempt whether a request is sent to another endpoint, gets the response of this one, or is given up. Pure.

| how the attempt ended | request may run once | request may run more than once |
| --- | --- | --- |
| `unsent`, `misdirected` | send elsewhere; give up once `maxFutileAttempts` is reached | the same |
| `not_run` | send elsewhere | the same |
| `lost` | give up | send elsewhere, with rights for one more run |
| `server_error` | pass the response on | send elsewhere with rights for one more run; otherwise pass the response on |
| `whole` | pass the response on | the same |
| `relayed`, `streamed` | finish: the caller has the response | the same |

Except after `unsent`, sending elsewhere needs that the request is not over, that it has reached fewer endpoints than its route
allows, and that the retry limiter allows one more retry. A stream of which the caller has events goes on elsewhere only where the id of the last
one is known: any other run would begin anew. So would one after a part of a response that is no stream. A misdirected attempt has reached none, so it leaves a route with a single attempt
that attempt; it was an arrival at some process all the same, so the next one needs a retry.
*/
export const decideNextStep = ({end, progress, maxAttempts, isRetryable, isOver}: Inputs): NextStep => {
	const hasAttemptsLeft = !isOver && progress.arrivals < maxAttempts;
	const mayFailAgain = progress.unsentAttempts + progress.misdirectedAttempts < maxFutileAttempts;
	const canRunAgain = hasAttemptsLeft && isRetryable && canGoOn(progress);
	switch (end) {
		case 'unsent': {
			return mayFailAgain ? {type: 'send_elsewhere', needs: 'nothing', otherwise: 'give_up'} : {type: 'give_up'};
		}

		case 'misdirected': {
			return hasAttemptsLeft && mayFailAgain ? sendElsewhere('retry', 'give_up') : {type: 'give_up'};
		}

		case 'not_run': {
			return hasAttemptsLeft ? sendElsewhere('retry', 'give_up') : {type: 'give_up'};
		}

		case 'lost': {
			return canRunAgain ? sendElsewhere('retry_and_rights', 'give_up') : {type: 'give_up'};
		}

		case 'server_error': {
			return canRunAgain ? sendElsewhere('retry_and_rights', 'pass_on') : {type: 'pass_on'};
		}

		case 'whole': {
			return {type: 'pass_on'};
		}

		case 'relayed':
		case 'streamed': {
			return {type: 'finish'};
		}
	}
};
