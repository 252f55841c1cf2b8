import type {HostContext} from './host-context.js';
import type {RequestResult} from './request-result.js';
import type {StreamPlan} from './stream-plan.js';

type PlanRefusal = Pick<RequestResult, 'outcome' | 'reason' | 'retryAt'>;

/**
Returns why a request is refused before anything is reserved for it, since its stream cannot go on at any endpoint; `undefined` where it may.
A version that may come back is waited for, where it is known how long callers wait (`waitForEndpoint`).
*/
export const refusalOfPlan = (plan: StreamPlan, {streamOrigins, eventTimeout}: Pick<HostContext, 'streamOrigins' | 'eventTimeout'>): PlanRefusal | undefined => {
	switch (plan.type) {
		case 'unknown':
		case 'unreadable': {
			return {outcome: 'not_run', reason: `stream_origin_${plan.type}`};
		}

		case 'resumed': {
			const gone = streamOrigins.findGone(plan.origin);
			const mayReturn = gone?.retryAt !== undefined && eventTimeout !== undefined;
			return gone && !mayReturn ? {outcome: 'not_run', reason: 'stream_version_gone', retryAt: gone.retryAt} : undefined;
		}

		case 'any': {
			return undefined;
		}
	}
};
