import type {StreamOrigins} from '../stream-origins/stream-origins.js';
import type {RequestResult} from './request-result.js';
import type {StreamPlan} from './stream-plan.js';

/** Returns why a request is refused before anything is reserved for it, since its stream cannot go on at any endpoint; `undefined` where it may. */
export const refusalOfPlan = (plan: StreamPlan, {findGone}: Pick<StreamOrigins, 'findGone'>): Pick<RequestResult, 'outcome' | 'reason' | 'retryAt'> | undefined => {
	switch (plan.type) {
		case 'unknown':
		case 'unreadable': {
			return {outcome: 'not_run', reason: `stream_origin_${plan.type}`};
		}

		case 'resumed': {
			const gone = findGone(plan.origin);
			return gone && {outcome: 'not_run', reason: 'stream_version_gone', retryAt: gone.retryAt};
		}

		case 'any': {
			return undefined;
		}
	}
};
