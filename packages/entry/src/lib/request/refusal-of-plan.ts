import type {StreamOrigins} from '../stream-origins/stream-origins.js';
import type {StreamPlan} from './stream-plan.js';

/** Returns why a request is refused before any endpoint is chosen, since its stream cannot go on at any; `undefined` where it may. */
export const refusalOfPlan = (plan: StreamPlan, {isGone}: Pick<StreamOrigins, 'isGone'>): string | undefined => {
	switch (plan.type) {
		case 'unknown':
		case 'unreadable': {
			return `stream_origin_${plan.type}`;
		}

		case 'resumed': {
			return isGone(plan.origin) ? 'stream_version_gone' : undefined;
		}

		case 'any': {
			return undefined;
		}
	}
};
